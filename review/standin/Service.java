import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback address, with a thread for each request. */
abstract class Service {
    private final HttpServer server;
    final String address;

    Service(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        address = host + ":" + server.getAddress().getPort();
        server.createContext("/", exchange -> {
            try {
                handle(exchange);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            exchange.close();
        });
        server.start();
    }

    /** Stops listening and breaks off what is running, as the exit of a process does. */
    void exit() {
        server.stop(0);
    }

    abstract void handle(HttpExchange exchange) throws IOException, InterruptedException;

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String query = exchange.getRequestURI().getQuery();
        if (query == null) return result;
        for (String part : query.split("&")) {
            int end = part.indexOf('=');
            if (end > 0) result.put(part.substring(0, end), part.substring(end + 1));
        }
        return result;
    }

    static String path(HttpExchange exchange) {
        return exchange.getRequestURI().getPath();
    }

    static void reply(HttpExchange exchange, int status, String json) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        reply(exchange, status, json.getBytes(StandardCharsets.UTF_8));
    }

    static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
    }
}
