import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An entry freezes and wakes again; meanwhile the store cuts off a watch that waits, and a key is taken
 * away. Checks that no request runs that was sent later than revocation-ms after that with the key.
 */
final class RevokedKey {
    private static final int PORT = 17010;
    private static final int WORKERS = 2;
    private static final int IDLE_ROUTES = 110;
    private static final String WATCHED = "evacuations";
    private static final int KEPT = 200;
    private static final long WATCH_MILLIS = 10_000;
    private static final long FREEZE_MILLIS = 7600;
    private static final long REVOCATION_MILLIS = 5000;
    private static final double SEND_MILLIS = 1600;

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = Cases.isTroubled();
        Path folder = Files.createTempDirectory("case");
        String subnet = Cases.freeSubnet(20, Node.CALLERS, PORT);
        List<Worker> workers = new ArrayList<>();
        int exit = 2;
        try (Store store = new Store(500); Node entry = new Node("entry", subnet + "1", store.address(), "", folder)) {
            for (int i = 0; i < WORKERS; i++) {
                Worker worker = new Worker("w" + i, subnet + (i + 10), PORT, "desk");
                worker.start(0);
                workers.add(worker);
                store.put("servers", worker.id, worker.record("ready", 0));
            }
            // 4 ms an answer, and 1.8 ms each way between regions.
            store.answerMillis = 8;
            store.put("config", "main", configuration(1, "\"key-one\""));
            entry.start();
            if (entry.awaitReady(20_000)) exit = run(store, entry, workers, isTroubled, Path.of(arguments[0]));
        } finally {
            workers.forEach(Worker::close);
        }
        System.exit(exit);
    }

    private static String idleRoutes() {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < IDLE_ROUTES; i++) {
            routes.append(",{\"name\":\"idle").append(i).append("\",\"host\":\"h").append(i)
                .append(".example\",\"path-prefix\":\"/idle/\",\"kind\":\"idempotent\",\"timeout-ms\":1000,")
                .append("\"target-latency-ms\":200,\"priority\":1,\"service\":\"desk\",\"attempts\":1}");
        }
        return routes.toString();
    }

    private static String configuration(int version, String keys) {
        return "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":1000000,\"header-timeout-ms\":5000,\"idle-timeout-ms\":20000},"
            + "\"tenants\":[{\"name\":\"one\",\"api-keys\":[" + keys + "]},"
            + "{\"name\":\"two\",\"api-keys\":[\"key-two\"]}],"
            + "\"routes\":[{\"name\":\"charge\",\"host\":\"desk.example\",\"path-prefix\":\"/charge/\","
            + "\"kind\":\"non_idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1,"
            + "\"service\":\"desk\",\"attempts\":1}" + idleRoutes() + "],"
            + "\"services\":[{\"name\":\"desk\",\"health-check-path\":\"/health\",\"connection-limit\":100}]}";
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        long left = millis - System.currentTimeMillis();
        if (left > 0) Thread.sleep(left);
    }

    private static int run(Store store, Node entry, List<Worker> workers, boolean isTroubled, Path output)
        throws Exception {
        KeptClients clients = new KeptClients(entry.host, KEPT, "GET /charge/x HTTP/1.1\r\nHost: desk.example\r\n"
            + "Authorization: Bearer key-one\r\n", 2000);
        // The freeze begins in a long watch that would end shortly before the entry wakes again.
        long giveUp = System.currentTimeMillis() + 40_000;
        boolean areConnected = false;
        long frozen = 0;
        while (frozen == 0) {
            if (System.currentTimeMillis() > giveUp) return 2;
            long watched = store.watchStart(WATCHED, WATCH_MILLIS);
            long begin = watched + WATCH_MILLIS - FREEZE_MILLIS + 200;
            if (watched == 0 || System.currentTimeMillis() > begin - 600) {
                Thread.sleep(5);
                continue;
            }
            sleepUntil(begin - 500);
            if (!areConnected && !clients.connect()) return 2;
            areConnected = true;
            sleepUntil(begin);
            if (store.watchStart(WATCHED, WATCH_MILLIS) == watched) frozen = begin;
        }
        if (isTroubled) {
            entry.signal("STOP");
            Thread.sleep(500);
            store.cutWatches(WATCHED);
        }
        sleepUntil(frozen + 1300);
        store.put("config", "main", configuration(2, ""));
        long acknowledged = System.currentTimeMillis();
        // Each client sends once, from revocation-ms after the acknowledgement until after the freeze.
        clients.sendFrom(acknowledged + REVOCATION_MILLIS + 50, SEND_MILLIS / KEPT);
        sleepUntil(frozen + FREEZE_MILLIS);
        if (isTroubled) entry.signal("CONT");
        long woken = System.currentTimeMillis();
        Thread.sleep(3000);
        int late = 0;
        int refused = 0;
        try (PrintWriter record = new PrintWriter(output.resolve("record.txt").toFile())) {
            record.println("frozen " + frozen + " key taken away, acknowledged " + acknowledged + " woken " + woken);
            for (Client.Answer answer : clients.answers) {
                record.println("sent " + answer.sentMillis() + " " + answer.id() + " answered "
                    + answer.answeredMillis() + " " + answer.status());
                if (answer.status() == 401) refused++;
            }
            for (Worker worker : workers) {
                for (Worker.Arrival arrival : worker.arrivals) {
                    Long sentMillis = clients.sent.get(arrival.id());
                    boolean isLate = sentMillis != null && arrival.hasRun()
                        && sentMillis > acknowledged + REVOCATION_MILLIS;
                    if (isLate) late++;
                    record.println((arrival.hasRun() ? "ran " : "rejected ") + arrival.atMillis() + " " + arrival.id()
                        + " at " + worker.id + (isLate ? " LATE, sent " + (sentMillis - acknowledged) : ""));
                }
            }
            String result = "requests with the key that ran though sent later than revocation-ms after it was taken"
                + " away: " + late + ", refused with 401: " + refused;
            record.println(result);
            System.out.println(result);
        }
        return refused == 0 ? 2 : late > 0 ? 1 : 0;
    }
}
