import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for the origin of weights. */
final class Origin implements AutoCloseable {
    private final HttpServer server;

    /** Number of the next manifests of the newest version that are sent with one wrong character. */
    final AtomicInteger spoiltManifests = new AtomicInteger();
    final AtomicInteger spoiltAnswers = new AtomicInteger();
    final AtomicInteger answers = new AtomicInteger();

    Origin() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Cases::daemonThread));
        server.createContext("/v1/manifest/", this::manifest);
        server.createContext("/v1/piece/", this::piece);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void manifest(HttpExchange exchange) throws IOException {
        long version = Long.parseLong(Cases.query(exchange).get("version"));
        boolean isSpoilt = version > 1 && spoiltManifests.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
        StringBuilder digests = new StringBuilder();
        for (int i = 0; i < Weights.PIECES; i++) {
            String digest = Weights.digest(Weights.piece(version, i));
            if (isSpoilt && i == 7) digest = (digest.charAt(0) == '0' ? '1' : '0') + digest.substring(1);
            digests.append(i == 0 ? "" : ",").append('"').append(digest).append('"');
        }
        answers.incrementAndGet();
        if (isSpoilt) spoiltAnswers.incrementAndGet();
        Cases.respond(exchange, 200, "{\"model\":\"" + Weights.MODEL + "\",\"version\":" + version
            + ",\"chunk-bytes\":" + Weights.PIECE_BYTES + ",\"layers\":" + Weights.LAYERS
            + ",\"digests\":[" + digests + "]}", "Content-Type", "application/json");
    }

    private void piece(HttpExchange exchange) throws IOException {
        var query = Cases.query(exchange);
        answers.incrementAndGet();
        Cases.respond(exchange, 200,
            Weights.piece(Long.parseLong(query.get("version")), Integer.parseInt(query.get("number"))));
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
