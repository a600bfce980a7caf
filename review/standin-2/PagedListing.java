import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Workers report that they are leaving while an entry that has just been restarted reads their list,
 * which has two pages. Checks that the entry sends them nothing later than drain-ms after that.
 */
final class PagedListing {
    private static final int WORKERS = 60;
    private static final int PAGE_ITEMS = 50;
    private static final int LEAVING = 9;
    private static final int PORT = 17010;
    private static final long DRAIN_MILLIS = 2000;
    private static final long STABILITY_MILLIS = 3000;
    private static final long LINGER_MILLIS = 9000;

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = Cases.isTroubled();
        Path folder = Files.createTempDirectory("case");
        String subnet = Cases.freeSubnet(WORKERS + 9, Node.CALLERS, PORT);
        List<Worker> workers = new ArrayList<>();
        int exit = 2;
        try (Store store = new Store(PAGE_ITEMS)) {
            for (int i = 0; i < WORKERS; i++) {
                Worker worker = new Worker(String.format("w%02d", i), subnet + (i + 10), PORT, "desk");
                worker.start(0);
                workers.add(worker);
                store.put("servers", worker.id, worker.record("ready", 0));
            }
            store.put("config", "main", "{\"version\":1,\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":1000000,\"header-timeout-ms\":5000,\"idle-timeout-ms\":10000},"
                + "\"tenants\":[],\"routes\":[{\"name\":\"check\",\"host\":\"desk.example\","
                + "\"path-prefix\":\"/check/\",\"kind\":\"idempotent\",\"timeout-ms\":1000,"
                + "\"target-latency-ms\":200,\"priority\":1,\"service\":\"desk\",\"attempts\":2}],"
                + "\"services\":[{\"name\":\"desk\",\"health-check-path\":\"/health\",\"connection-limit\":100}]}");
            exit = run(store, workers, subnet, folder, isTroubled, Path.of(arguments[0]));
        } finally {
            workers.forEach(Worker::close);
        }
        System.exit(exit);
    }

    private static int run(Store store, List<Worker> workers, String subnet, Path folder,
        boolean isTroubled, Path output) throws Exception {
        List<Worker> leaving = workers.subList(0, LEAVING);
        AtomicLong acknowledged = new AtomicLong();
        AtomicBoolean isArmed = new AtomicBoolean();
        Runnable leave = () -> {
            leaving.forEach(w -> store.put("servers", w.id, w.record("draining", 0)));
            acknowledged.set(System.currentTimeMillis());
        };
        store.afterPage = (kind, page) -> {
            if (kind.equals("servers") && page == 1 && isArmed.compareAndSet(true, false)) leave.run();
        };
        try (Node entry = new Node("entry", subnet + "1", store.address(), "", folder)) {
            entry.start();
            if (!entry.awaitReady(20_000)) return 2;
            Client client = new Client(entry.host, "a", "GET /check/x HTTP/1.1\r\nHost: desk.example\r\n", 1000);
            client.start(60);
            Thread.sleep(3000);
            long startedMillis = System.currentTimeMillis();
            if (isTroubled) {
                isArmed.set(true);
                entry.kill();
                startedMillis = System.currentTimeMillis();
                entry.start();
                if (!entry.awaitReady(20_000)) return 2;
            } else {
                startedMillis = 0;
                leave.run();
            }
            Thread.sleep(LINGER_MILLIS);
            client.close();
            Thread.sleep(1500);
            return judge(client, workers, leaving, acknowledged.get(), startedMillis, output);
        }
    }

    private static int judge(Client client, List<Worker> workers, List<Worker> leaving, long acknowledged,
        long startedMillis, Path output) throws Exception {
        Set<String> names = leaving.stream().map(w -> w.id).collect(Collectors.toSet());
        long inTouchMillis = startedMillis + STABILITY_MILLIS;
        int late = 0;
        try (PrintWriter record = new PrintWriter(output.resolve("record.txt").toFile())) {
            record.println("leaving: " + names + ", acknowledged at " + acknowledged
                + ", entry started at " + startedMillis);
            for (Client.Answer answer : client.answers) {
                record.println("sent " + answer.sentMillis() + " " + answer.id() + " answered "
                    + answer.answeredMillis() + " " + answer.status());
            }
            for (Worker worker : workers) {
                for (Worker.Arrival arrival : worker.arrivals) {
                    long sentMillis = client.sent.getOrDefault(arrival.id(), 0L);
                    boolean isLate = names.contains(worker.id) && arrival.hasRun()
                        && sentMillis >= inTouchMillis && arrival.atMillis() > acknowledged + DRAIN_MILLIS;
                    if (isLate) late++;
                    record.println((arrival.hasRun() ? "ran " : "rejected ") + arrival.atMillis() + " "
                        + arrival.id() + " at " + worker.id + (isLate ? " LATE" : ""));
                }
            }
            long served = client.answers.stream().filter(a -> a.status() == 200).count();
            record.println("requests " + client.answers.size() + ", answered 200: " + served + ", reached a"
                + " leaving worker later than drain-ms after its acknowledgement: " + late);
            System.out.println("late " + late + " served " + served + " of " + client.answers.size());
            if (acknowledged == 0 || served < client.answers.size() / 2) return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
