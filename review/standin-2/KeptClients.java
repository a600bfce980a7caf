import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in for clients that keep their connections: each sends a request, idles, and sends another. */
final class KeptClients {
    final Map<String, Long> sent = new ConcurrentHashMap<>();
    final List<Client.Answer> answers = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final String host;
    private final int count;
    private final String head;
    private final int deadlineMillis;

    KeptClients(String host, int count, String head, int deadlineMillis) {
        this.host = host;
        this.count = count;
        this.head = head;
        this.deadlineMillis = deadlineMillis;
    }

    /** Opens all connections, with an answered request on each; returns whether all succeeded. */
    boolean connect() {
        for (int i = 0; i < count; i++) {
            try {
                Socket socket = new Socket();
                socket.connect(new InetSocketAddress(host, Node.CALLERS), 1000);
                socket.setSoTimeout(deadlineMillis + 6000);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
            } catch (IOException e) {
                return false;
            }
        }
        for (int i = 0; i < 8; i++) if (exchange(sockets.get(i), "first-" + i) != 200) return false;
        return true;
    }

    /** Sends one request on each connection, the first one at [fromMillis], [spacingMillis] apart. */
    void sendFrom(long fromMillis, double spacingMillis) {
        for (int i = 0; i < count; i++) {
            int index = i;
            Cases.daemonThread(() -> {
                try {
                    long left = fromMillis + (long) (index * spacingMillis) - System.currentTimeMillis();
                    if (left > 0) Thread.sleep(left);
                } catch (InterruptedException e) {
                    return;
                }
                exchange(sockets.get(index), "kept-" + index);
            }).start();
        }
    }

    private int exchange(Socket socket, String id) {
        long sentMillis = System.currentTimeMillis();
        sent.put(id, sentMillis);
        int status = 0;
        try {
            socket.getOutputStream().write((head + "X-Attempt-Identifier: " + id + "\r\nX-Deadline-Remaining: "
                + deadlineMillis + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            status = read(socket.getInputStream());
        } catch (IOException | RuntimeException e) {
            status = 0;
        }
        answers.add(new Client.Answer(id, sentMillis, System.currentTimeMillis(), status));
        return status;
    }

    private static int read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) return 0;
            head.append((char) next);
        }
        String text = head.toString().toLowerCase();
        int at = text.indexOf("content-length:");
        int length = Integer.parseInt(text.substring(at + 15, text.indexOf('\r', at)).trim());
        in.readNBytes(length);
        return Integer.parseInt(head.substring(9, 12));
    }
}
