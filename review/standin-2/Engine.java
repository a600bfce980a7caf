import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for a model worker, which starts with version 1 loaded and staged. */
final class Engine implements AutoCloseable {
    private static final long LOAD_MILLIS = 300;
    private static final int EVENTS = 10;
    private static final long EVENT_MILLIS = 20;

    /** A request that has begun to run, and its version. */
    record Run(long atMillis, String id, long version) {}

    final String id;
    final String address;
    final long bornMillis = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private final TreeMap<Integer, byte[]> staged = new TreeMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private long version = 1;
    private long loading;
    private long sequence;

    Engine(String id, String host, int port) throws IOException {
        this.id = id;
        address = host + ":" + port;
        for (int i = 0; i < Weights.PIECES; i++) staged.put(i, Weights.piece(1, i));
        server = HttpServer.create(new InetSocketAddress(host, port), 256);
        server.setExecutor(Executors.newCachedThreadPool(Cases::daemonThread));
        server.createContext("/v1/report", this::report);
        server.createContext("/v1/stage-put/", this::stagePut);
        server.createContext("/v1/stage-get/", this::stageGet);
        server.createContext("/v1/order", this::order);
        server.createContext("/", this::stream);
        server.start();
    }

    synchronized long version() {
        return version;
    }

    private synchronized String models() {
        int to = version == 0 ? 0 : Weights.LAYERS;
        return "[{\"name\":\"" + Weights.MODEL + "\",\"version\":" + Math.max(1, version)
            + ",\"adapters\":[],\"layers\":{\"from\":0,\"to\":" + to + ",\"version\":" + version + "}}]";
    }

    String record() {
        return "{\"service\":\"llm\",\"address\":\"" + address + "\",\"zone\":\"z1\",\"version\":\"1\",\"slots\":16,"
            + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" + bornMillis
            + ",\"stage\":\"combined\",\"models\":" + models() + "}";
    }

    private void report(HttpExchange exchange) throws IOException {
        String text;
        synchronized (this) {
            text = "{\"stage\":\"combined\",\"models\":" + models() + ",\"busy\":" + (loading > 0) + ",\"sequence\":"
                + sequence + ",\"waiting\":0,\"running\":" + running.get() + ",\"kv-cache-used\":0,"
                + "\"kv-cache-total\":685000,\"handles\":0,\"pace\":1,\"born\":" + bornMillis + "}";
        }
        Cases.respond(exchange, 200, text, "Content-Type", "application/json");
    }

    private void stagePut(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        synchronized (this) {
            staged.put(Integer.parseInt(Cases.query(exchange).get("number")), bytes);
        }
        Cases.respond(exchange, 200, "{}");
    }

    private void stageGet(HttpExchange exchange) throws IOException {
        String number = Cases.query(exchange).get("number");
        byte[] bytes;
        synchronized (this) {
            if (number == null) {
                bytes = ("{\"held\":" + staged.keySet() + "}").getBytes(StandardCharsets.UTF_8);
            } else {
                bytes = staged.get(Integer.parseInt(number));
            }
        }
        if (bytes == null) Cases.respond(exchange, 404, "{}"); else Cases.respond(exchange, 200, bytes);
    }

    private void order(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long ordered = number(text, "version", 0);
        int status;
        synchronized (this) {
            if (ordered == version || ordered == loading) {
                status = 200;
            } else if (loading > 0 || number(text, "precondition", sequence) != sequence) {
                status = 409;
            } else {
                status = 202;
                sequence++;
                loading = ordered;
                version = 0;
                Cases.daemonThread(this::load).start();
            }
        }
        Cases.respond(exchange, status, "{}");
    }

    private void load() {
        try {
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            version = loading;
            loading = 0;
        }
    }

    private static long number(String text, String field, long missing) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(text);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : missing;
    }

    private void stream(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        var headers = exchange.getRequestHeaders();
        String request = headers.getFirst("X-Attempt-Identifier");
        String expected = headers.getFirst("X-Expected-Instance");
        String expectedVersion = headers.getFirst("X-Expected-Version");
        long begun = version();
        boolean isMisdirected = (expected != null && !expected.equals(id))
            || (expectedVersion != null && Long.parseLong(expectedVersion) != begun);
        if (isMisdirected || begun == 0) {
            Cases.respond(exchange, isMisdirected ? 421 : 503, "", "X-Not-Executed", "1",
                "X-Attempt-Identifier", request);
            return;
        }
        runs.add(new Run(System.currentTimeMillis(), request, begun));
        running.incrementAndGet();
        try {
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.getResponseHeaders().set("X-Response-Seal", id + "." + System.nanoTime());
            exchange.getResponseHeaders().set("X-Attempt-Identifier", request);
            exchange.getResponseHeaders().set("X-Weight-Versions", Long.toString(begun));
            exchange.sendResponseHeaders(200, 0);
            String last = headers.getFirst("Last-Event-Id");
            for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
                if (version() != begun) throw new IOException("cut off by an order");
                Thread.sleep(EVENT_MILLIS);
                exchange.getResponseBody().write(("id: " + i + "\ndata: " + request + " " + i + "\n\n")
                    .getBytes(StandardCharsets.US_ASCII));
                exchange.getResponseBody().flush();
            }
            exchange.close();
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            running.decrementAndGet();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
