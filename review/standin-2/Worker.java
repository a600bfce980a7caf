import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in for a worker of a plain service. */
final class Worker implements AutoCloseable {
    /** A request that has reached the worker, and whether it has run. */
    record Arrival(long atMillis, String id, boolean hasRun) {}

    final String id;
    final String host;
    final int port;
    final String service;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    volatile long bornMillis;
    volatile long coldUntilMillis;
    private final ExecutorService executor = Executors.newCachedThreadPool(Cases::daemonThread);
    private HttpServer server;

    Worker(String id, String host, int port, String service) {
        this.id = id;
        this.host = host;
        this.port = port;
        this.service = service;
    }

    void start(long coldMillis) throws IOException {
        bornMillis = System.currentTimeMillis();
        coldUntilMillis = bornMillis + coldMillis;
        server = HttpServer.create(new InetSocketAddress(host, port), 256);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        long now = System.currentTimeMillis();
        long coldMillis = Math.max(0, coldUntilMillis - now);
        String request = exchange.getRequestHeaders().getFirst("X-Attempt-Identifier");
        if (exchange.getRequestURI().getPath().equals("/health")) {
            Cases.respond(exchange, 200, "", "X-Instance-Identifier", id,
                "X-Cold-Milliseconds", Long.toString(coldMillis));
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        boolean isMine = expected == null || expected.equals(id);
        arrivals.add(new Arrival(now, request, isMine));
        if (!isMine) {
            Cases.respond(exchange, 421, "", "X-Not-Executed", "1", "X-Attempt-Identifier", request);
            return;
        }
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        String seal = id + "." + System.nanoTime();
        Cases.respond(exchange, 200, seal + "|" + request, "X-Response-Seal", seal,
            "X-Attempt-Identifier", request);
    }

    String record(String state, long coldMillis) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + port
            + "\",\"zone\":\"z1\",\"version\":\"1\",\"slots\":6,\"state\":\"" + state
            + "\",\"cold-remaining-ms\":" + coldMillis + ",\"sequence\":1,\"born\":" + bornMillis + "}";
    }

    /** Ends as in a crash. */
    @Override
    public void close() {
        if (server != null) server.stop(0);
        server = null;
    }
}
