import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's metadata store: listings and watches of objects. */
final class Store extends Service {
    private record Change(long revision, String kind, String name, boolean isRemoved) {}

    private final Map<String, Map<String, String>> objects = new LinkedHashMap<>();
    private final Map<String, Long> revisions = new LinkedHashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long cuts;

    Store(String host) throws IOException {
        super(host);
    }

    synchronized void put(String kind, String name, String specification) {
        objects.computeIfAbsent(kind, k -> new LinkedHashMap<>()).put(name, specification);
        change(kind, name, false);
    }

    synchronized void remove(String kind, String name) {
        objects.getOrDefault(kind, new LinkedHashMap<>()).remove(name);
        change(kind, name, true);
    }

    private void change(String kind, String name, boolean isRemoved) {
        revision++;
        revisions.put(kind + "/" + name, revision);
        history.add(new Change(revision, kind, name, isRemoved));
        notifyAll();
    }

    @Override
    void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String kind = path(exchange).substring(path(exchange).lastIndexOf('/') + 1);
        Map<String, String> query = query(exchange);
        String watch = query.get("watch");
        // An exchange without a reply closes its connection.
        String body = watch == null
            ? listing(kind)
            : events(kind, Long.parseLong(watch), Long.parseLong(query.getOrDefault("wait-ms", "0")));
        if (body != null) reply(exchange, 200, body);
    }

    /** Cuts off the watches that are waiting. */
    synchronized void cutWatches() {
        cuts++;
        notifyAll();
    }

    private synchronized String listing(String kind) {
        List<String> items = new ArrayList<>();
        objects.getOrDefault(kind, Map.of()).forEach((name, text) -> items.add(object(kind, name)));
        return "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"store-revision\":"
            + revision + "}";
    }

    private synchronized String events(String kind, long after, long waitMillis)
        throws InterruptedException {
        long end = System.currentTimeMillis() + waitMillis;
        long cutsBefore = cuts;
        while (true) {
            if (cuts > cutsBefore) return null;
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision <= after || !change.kind.equals(kind)) continue;
                events.add("{\"object\":" + object(kind, change.name) + ",\"removed\":"
                    + change.isRemoved + "}");
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store-revision\":"
                    + revision + "}";
            }
            wait(left);
        }
    }

    private String object(String kind, String name) {
        String text = objects.getOrDefault(kind, Map.of()).get(name);
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":"
            + revisions.get(kind + "/" + name) + "},\"specification\":" + text + ",\"status\":null}";
    }
}
