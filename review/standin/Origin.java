import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.UnaryOperator;

/** The origin of weights; it serves the newest named version and the one before. */
final class Origin extends Service {
    static final int PIECES = 96;
    static final int PIECE_BYTES = 24576;

    // The bytes that the origin sends in a millisecond: 7.3 Mbit/s.
    private static final double BYTES_PER_MILLI = 7.3 * 125;

    private long linkFreeMillis;
    volatile long newest = 1;
    volatile boolean isDown;
    volatile UnaryOperator<String> manifestFilter = text -> text;

    Origin(String host) throws IOException {
        super(host);
    }

    static byte[] piece(long version, int number) {
        byte[] bytes = new byte[PIECE_BYTES];
        new Random(version * PIECES + number).nextBytes(bytes);
        return bytes;
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        // A process that is down has no listener; its connections are reset.
        if (isDown) throw new IOException("the origin is down");
        Map<String, String> query = query(exchange);
        long version = Long.parseLong(query.getOrDefault("version", Long.toString(newest)));
        if (version <= newest - 2) {
            reply(exchange, 410, "{}");
        } else if (path(exchange).startsWith("/v1/manifest/")) {
            reply(exchange, 200, manifestFilter.apply(manifest(version)));
        } else {
            awaitLink();
            if (isDown) throw new IOException("the origin is down");
            reply(exchange, 200, piece(version, Integer.parseInt(query.get("number"))));
        }
    }

    private void awaitLink() throws InterruptedException {
        long delay;
        synchronized (this) {
            long now = System.currentTimeMillis();
            linkFreeMillis = Math.max(now, linkFreeMillis) + (long) (PIECE_BYTES / BYTES_PER_MILLI);
            delay = linkFreeMillis - now;
        }
        Thread.sleep(delay);
    }

    private static String manifest(long version) {
        List<String> digests = new ArrayList<>();
        for (int i = 0; i < PIECES; i++) digests.add("\"" + digest(piece(version, i)) + "\"");
        return "{\"model\":\"m\",\"version\":" + version + ",\"chunk-bytes\":" + PIECE_BYTES
            + ",\"layers\":16,\"digests\":[" + String.join(",", digests) + "]}";
    }
}
