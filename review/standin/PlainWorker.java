import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A worker of a service without a model; it takes a tenth of a second for each request. */
final class PlainWorker extends Service {
    private static final long WORK_MILLIS = 100;

    final String id;
    private final long born = System.currentTimeMillis();
    private final Record record;

    /** Called with the id of a request that reaches this worker. */
    volatile Consumer<String> onArrival = request -> {};

    PlainWorker(String host, String id, Record record) throws IOException {
        super(host);
        this.id = id;
        this.record = record;
    }

    /** The entry of this worker in the store. */
    String entry() {
        return "{\"service\":\"desk\",\"address\":\"" + address + "\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,"
            + "\"sequence\":0,\"born\":" + born + "}";
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.getRequestBody().readAllBytes();
        String request = exchange.getRequestHeaders().getFirst("X-Attempt-Identifier");
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        exchange.getResponseHeaders().set("X-Attempt-Identifier", request);
        if (expected != null && !expected.equals(id)) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            reply(exchange, 421, "{}");
            return;
        }
        onArrival.accept(request);
        record.line(id + ": runs " + request);
        Thread.sleep(WORK_MILLIS);
        exchange.getResponseHeaders().set("X-Response-Seal", id + "." + System.nanoTime());
        reply(exchange, 200, "done".getBytes(StandardCharsets.UTF_8));
    }
}
