import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

/** A model worker: staged pieces, load orders, and streams on the loaded weights. */
final class Engine extends Service {
    private static final long LOAD_MILLIS = 300;
    private static final int EVENTS = 5;
    private static final long EVENT_MILLIS = 45;

    final String id;
    final long born = System.currentTimeMillis();
    private final Record record;
    private final Map<Integer, byte[]> staged = new TreeMap<>();
    private final Map<Integer, Long> spoiltMillis = new TreeMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private long sequence;
    private volatile long loading;
    volatile long loaded = 1;

    /** Pieces that were spoilt for longer than the rule excuses when the layers were taken. */
    private volatile String fault = "";

    /** Called before a staged piece is answered. */
    volatile IntConsumer onRead = number -> {};

    /** Called with the id and the tenant of a request that runs. */
    volatile BiConsumer<String, String> onRun = (request, tenant) -> {};

    /** Tokens made on weights with a fault. */
    final AtomicInteger faultyTokens = new AtomicInteger();

    Engine(String host, String id, Record record) throws IOException {
        super(host);
        this.id = id;
        this.record = record;
        for (int i = 0; i < Origin.PIECES; i++) staged.put(i, Origin.piece(1, i));
    }

    /** The entry of this worker in the store. */
    String entry() {
        return "{\"service\":\"llm\",\"address\":\"" + address + "\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold-remaining-ms\":0,"
            + "\"sequence\":" + sequence + ",\"born\":" + born + ",\"stage\":\"combined\",\"models\":"
            + models() + "}";
    }

    private String models() {
        return loaded == 0 ? "[]" : "[{\"name\":\"m\",\"version\":" + loaded + ",\"adapters\":[]}]";
    }

    /** Turns a staged piece bad. */
    synchronized void spoil(int number) {
        byte[] bytes = staged.get(number).clone();
        bytes[7] ^= 1;
        staged.put(number, bytes);
        spoiltMillis.put(number, System.currentTimeMillis());
        record.line(id + ": staged piece " + number + " turns bad");
    }

    synchronized boolean isStaged(long version, int number) {
        return Arrays.equals(staged.get(number), Origin.piece(version, number));
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = path(exchange);
        if (path.equals("/v1/report")) {
            reply(exchange, 200, "{\"stage\":\"combined\",\"models\":" + models() + ",\"busy\":"
                + (loading > 0) + ",\"sequence\":" + sequence + ",\"waiting\":0,\"running\":"
                + running.get() + ",\"kv-cache-used\":0,\"kv-cache-total\":90000,\"handles\":0,"
                + "\"born\":" + born + "}");
        } else if (path.startsWith("/v1/stage-put/")) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            synchronized (this) {
                int number = Integer.parseInt(query(exchange).get("number"));
                staged.put(number, bytes);
                spoiltMillis.remove(number);
            }
            reply(exchange, 200, new byte[0]);
        } else if (path.startsWith("/v1/stage-get/")) {
            readStaged(exchange);
        } else if (path.equals("/v1/order")) {
            order(exchange);
        } else if (path.startsWith("/s/")) {
            stream(exchange);
        } else {
            exchange.getResponseHeaders().set("X-Instance-Identifier", id);
            reply(exchange, 200, "{}");
        }
    }

    private void readStaged(HttpExchange exchange) throws IOException {
        String number = query(exchange).get("number");
        if (number == null) {
            String held;
            synchronized (this) {
                held = staged.keySet().toString();
            }
            reply(exchange, 200, "{\"held\":" + held + "}");
            return;
        }
        onRead.accept(Integer.parseInt(number));
        byte[] bytes;
        synchronized (this) {
            bytes = staged.get(Integer.parseInt(number));
        }
        if (bytes == null) reply(exchange, 404, new byte[0]); else reply(exchange, 200, bytes);
    }

    private void order(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, Object> order = Json.object(new String(body, StandardCharsets.UTF_8));
        long version = ((Double) order.get("version")).longValue();
        Object expected = order.get("precondition");
        int status = accept(version, expected == null ? -1 : ((Double) expected).longValue());
        record.line(id + ": order to load version " + version + " answered " + status);
        reply(exchange, status, "{}");
    }

    private synchronized int accept(long version, long expected) {
        if (version == loaded || version == loading) return 200;
        if (loading > 0 || (expected >= 0 && expected != sequence)) return 409;
        sequence++;
        loading = version;
        loaded = 0;
        fault = "";
        long now = System.currentTimeMillis();
        for (int i = 0; i < Origin.PIECES; i++) {
            if (Arrays.equals(staged.get(i), Origin.piece(version, i))) continue;
            long ageMillis = now - spoiltMillis.getOrDefault(i, 0L);
            record.line(id + ": takes the layers of version " + version + " with piece " + i
                + " faulty, spoilt " + (spoiltMillis.containsKey(i) ? ageMillis + " ms" : "never")
                + " before");
            if (ageMillis > 3000) fault += " " + i;
        }
        Thread load = new Thread(() -> {
            try {
                Thread.sleep(LOAD_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            loaded = version;
            loading = 0;
            record.line(id + ": has loaded version " + version);
        });
        load.setDaemon(true);
        load.start();
        return 202;
    }

    private void stream(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.getRequestBody().readAllBytes();
        Headers headers = exchange.getRequestHeaders();
        String request = headers.getFirst("X-Attempt-Identifier");
        long version = loaded;
        String expectedId = headers.getFirst("X-Expected-Instance");
        String expectedVersion = headers.getFirst("X-Expected-Version");
        exchange.getResponseHeaders().set("X-Attempt-Identifier", request);
        boolean isOther = (expectedId != null && !expectedId.equals(id))
            || (expectedVersion != null && !expectedVersion.equals(Long.toString(version)));
        if (version == 0 || isOther) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            reply(exchange, isOther ? 421 : 503, "{}");
            return;
        }
        String tenant = headers.getFirst("X-Tenant");
        onRun.accept(request, tenant == null ? "" : tenant);
        record.line(id + ": runs " + request + " on version " + version
            + (tenant == null ? "" : " for tenant " + tenant)
            + (fault.isEmpty() ? "" : " with faulty pieces" + fault));
        if (!fault.isEmpty()) faultyTokens.incrementAndGet();
        running.incrementAndGet();
        try {
            writeEvents(exchange, version);
        } finally {
            running.decrementAndGet();
        }
    }

    private void writeEvents(HttpExchange exchange, long version)
        throws IOException, InterruptedException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.getResponseHeaders().set("X-Response-Seal", id + "." + System.nanoTime());
        exchange.getResponseHeaders().set("X-Weight-Versions", Long.toString(version));
        exchange.sendResponseHeaders(200, 0);
        List<String> last = exchange.getRequestHeaders().get("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last.get(0)) + 1;
        OutputStream body = exchange.getResponseBody();
        for (int number = first; number <= EVENTS; number++) {
            if (loaded != version) throw new IOException("cut by a load");
            Thread.sleep(EVENT_MILLIS);
            body.write(("id: " + number + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
            body.flush();
        }
    }
}
