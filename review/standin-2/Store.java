import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/** Stand-in for the platform's store: listings in pages, watches, and writes of other kinds. */
final class Store implements AutoCloseable {
    private record Item(String content, long revision) {}

    private record Change(long revision, String kind, String name, boolean isRemoved) {}

    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final HttpServer server;
    private final int pageItems;
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Map<String, Long> watchStarts = new HashMap<>();
    private long revision = 1;

    /** Time that each answer takes. */
    volatile long answerMillis;

    /** While true, calls get no answer. */
    volatile boolean isSilent;

    /** Called after the page of a listing has been read, with its kind and its number from 1. */
    volatile BiConsumer<String, Integer> afterPage = (kind, page) -> {};

    Store(int pageItems) throws IOException {
        this.pageItems = pageItems;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Cases::daemonThread));
        server.createContext("/v1/objects/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String kind, String name, String content) {
        revision++;
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, new Item(content, revision));
        history.add(new Change(revision, kind, name, false));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        revision++;
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        history.add(new Change(revision, kind, name, true));
        notifyAll();
    }

    /** Cuts off the watches of [kind] that wait: they end without events. */
    synchronized void cutWatches(String kind) {
        cuts.merge(kind, 1, Integer::sum);
        notifyAll();
    }

    /** Time of the last watch call for [kind] that waits [waitMillis], in Unix milliseconds; 0 if none. */
    synchronized long watchStart(String kind, long waitMillis) {
        return watchStarts.getOrDefault(kind + " " + waitMillis, 0L);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        try {
            while (isSilent) Thread.sleep(20);
            if (answerMillis > 0) Thread.sleep(answerMillis);
            String[] path = exchange.getRequestURI().getPath().substring("/v1/objects/".length()).split("/");
            Map<String, String> query = Cases.query(exchange);
            if (!exchange.getRequestMethod().equals("GET")) {
                write(exchange, path, new String(body, StandardCharsets.UTF_8));
            } else if (path.length > 1) {
                read(exchange, path);
            } else if (query.containsKey("watch")) {
                watch(exchange, path[0], Long.parseLong(query.get("watch")),
                    Long.parseLong(query.getOrDefault("wait-ms", "0")));
            } else {
                list(exchange, path[0], query.get("after"));
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            exchange.close();
        }
    }

    private void list(HttpExchange exchange, String kind, String after) throws IOException {
        StringBuilder items = new StringBuilder();
        boolean hasMore;
        int page;
        String text;
        synchronized (this) {
            TreeMap<String, Item> all = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
            page = 1 + (after == null ? 0 : all.headMap(after, true).size() / pageItems);
            var rest = after == null ? all : all.tailMap(after, false);
            int count = 0;
            for (var entry : rest.entrySet()) {
                if (count == pageItems) break;
                if (count++ > 0) items.append(',');
                items.append(json(entry.getKey(), entry.getValue()));
            }
            hasMore = rest.size() > count;
            text = "{\"items\":[" + items + "],\"more\":" + hasMore + ",\"store-revision\":" + revision + "}";
        }
        afterPage.accept(kind, page);
        Cases.respond(exchange, 200, text, "Content-Type", "application/json");
    }

    private void watch(HttpExchange exchange, String kind, long after, long waitMillis)
        throws IOException, InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        String text;
        synchronized (this) {
            watchStarts.put(kind + " " + waitMillis, System.currentTimeMillis());
            int cut = cuts.getOrDefault(kind, 0);
            List<Change> found = changes(kind, after);
            while (found.isEmpty() && System.nanoTime() < end && cut == cuts.getOrDefault(kind, 0)) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                found = changes(kind, after);
            }
            StringBuilder events = new StringBuilder();
            for (Change change : found) {
                if (events.length() > 0) events.append(',');
                Item item = kinds.get(kind).get(change.name());
                events.append("{\"removed\":").append(change.isRemoved()).append(",\"object\":")
                    .append(json(change.name(), item == null ? new Item("null", change.revision()) : item))
                    .append('}');
            }
            text = "{\"events\":[" + events + "],\"store-revision\":" + revision + "}";
        }
        while (isSilent) Thread.sleep(20);
        Cases.respond(exchange, 200, text, "Content-Type", "application/json");
    }

    private List<Change> changes(String kind, long after) {
        return history.stream().filter(c -> c.kind().equals(kind) && c.revision() > after).toList();
    }

    private void read(HttpExchange exchange, String[] path) throws IOException {
        Item item;
        synchronized (this) {
            item = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        }
        Cases.respond(exchange, item == null ? 404 : 200, item == null ? "{}" : json(path[1], item));
    }

    private void write(HttpExchange exchange, String[] path, String body) throws IOException {
        Cases.respond(exchange, 503, "{}");
    }

    private static String json(String name, Item item) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + item.revision()
            + "},\"specification\":" + item.content() + ",\"status\":null}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
