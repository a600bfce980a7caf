import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for clients of one entry: sends requests at a fixed rate, each on a new connection. */
final class Client implements AutoCloseable {
    /** Times are in Unix milliseconds; a status of 0 is a connection without an answer. */
    record Answer(String id, long sentMillis, long answeredMillis, int status) {}

    final Map<String, Long> sent = new ConcurrentHashMap<>();
    final List<Answer> answers = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(1, Cases::daemonThread);
    private final java.util.concurrent.ExecutorService senders = Executors.newCachedThreadPool(Cases::daemonThread);
    private final AtomicInteger next = new AtomicInteger();
    private final String host;
    private final String prefix;
    private final String head;
    private final int deadlineMillis;

    /** [head] has the request line and the fields of a request, without its id. */
    Client(String host, String prefix, String head, int deadlineMillis) {
        this.host = host;
        this.prefix = prefix;
        this.head = head;
        this.deadlineMillis = deadlineMillis;
    }

    void start(int perSecond) {
        clock.scheduleAtFixedRate(() -> senders.execute(this::send), 0, 1_000_000 / perSecond, TimeUnit.MICROSECONDS);
    }

    private void send() {
        String id = prefix + next.incrementAndGet();
        long sentMillis = System.currentTimeMillis();
        sent.put(id, sentMillis);
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, Node.CALLERS), 1000);
            socket.setSoTimeout(deadlineMillis + 1000);
            socket.getOutputStream().write((head + "X-Attempt-Identifier: " + id + "\r\nX-Deadline-Remaining: "
                + deadlineMillis + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            status = readStatus(socket.getInputStream());
        } catch (IOException | RuntimeException e) {
            status = 0;
        }
        answers.add(new Answer(id, sentMillis, System.currentTimeMillis(), status));
    }

    // Reads the head and the first bytes of the body.
    private static int readStatus(InputStream in) throws IOException {
        byte[] line = in.readNBytes(12);
        if (line.length < 12) return 0;
        int status = Integer.parseInt(new String(line, StandardCharsets.US_ASCII).substring(9, 12));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) return 0;
            head.append((char) next);
        }
        return status;
    }

    @Override
    public void close() {
        clock.shutdownNow();
        senders.shutdown();
    }
}
