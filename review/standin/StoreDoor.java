import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** The store as one machine reaches it; it can turn that machine away and serve the others. */
final class StoreDoor extends Service {
    private final Store store;
    volatile boolean isBusy;

    StoreDoor(String host, Store store) throws IOException {
        super(host);
        this.store = store;
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        if (isBusy) reply(exchange, 503, "{}"); else store.handle(exchange);
    }
}
