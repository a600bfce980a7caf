import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All processes are killed right after a configuration was acknowledged, and another writer leaves an odd
 * entry among those of the workers: its service isn't one of the configuration, and its address is that
 * of a sound worker. Checks that a quarter of the requests is served later than recovery-s after the
 * machines are back.
 */
final class OddEntry {
    private static final int PORT = 17010;
    private static final int ENTRIES = 2;
    private static final long DOWN_MILLIS = 1000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long JUDGED_MILLIS = 10_000;

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = Cases.isTroubled();
        Path folder = Files.createTempDirectory("case");
        String subnet = Cases.freeSubnet(20, Node.CALLERS, PORT);
        List<Node> entries = new ArrayList<>();
        Worker worker = new Worker("w0", subnet + "10", PORT, "desk");
        int exit = 2;
        try (Store store = new Store(500)) {
            worker.start(0);
            store.put("servers", worker.id, worker.record("ready", 0));
            store.put("config", "main", configuration(1));
            boolean areReady = true;
            for (int i = 0; i < ENTRIES; i++) {
                Node entry = new Node("entry", subnet + (i + 1), store.address(), "", folder);
                entries.add(entry);
                entry.start();
            }
            for (Node entry : entries) areReady = entry.awaitReady(20_000) && areReady;
            if (areReady) exit = run(store, worker, entries, isTroubled, Path.of(arguments[0]));
        } finally {
            for (Node entry : entries) entry.close();
            worker.close();
        }
        System.exit(exit);
    }

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1000000,"
            + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":10000},\"tenants\":[],"
            + "\"routes\":[{\"name\":\"check\",\"host\":\"desk.example\",\"path-prefix\":\"/check/\","
            + "\"kind\":\"idempotent\",\"timeout-ms\":1000,\"target-latency-ms\":200,\"priority\":1,"
            + "\"service\":\"desk\",\"attempts\":2}],\"services\":[{\"name\":\"desk\","
            + "\"health-check-path\":\"/health\",\"connection-limit\":100}]}";
    }

    private static int run(Store store, Worker worker, List<Node> entries, boolean isTroubled, Path output)
        throws Exception {
        List<Client> clients = new ArrayList<>();
        for (Node entry : entries) {
            Client client = new Client(entry.host, "c" + clients.size() + "-",
                "GET /check/x HTTP/1.1\r\nHost: desk.example\r\n", 1000);
            clients.add(client);
            client.start(15);
        }
        Thread.sleep(4000);
        store.put("config", "main", configuration(2));
        long faultMillis = System.currentTimeMillis();
        if (isTroubled) {
            for (Node entry : entries) entry.kill();
            // Written a second after the worker started, by somebody who describes another service.
            store.put("servers", "x-odd", "{\"service\":\"desk-next\",\"address\":\"" + worker.host + ":" + worker.port
                + "\",\"zone\":\"z1\",\"version\":\"2\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,"
                + "\"sequence\":1,\"born\":" + (worker.bornMillis + 1000) + "}");
            Thread.sleep(DOWN_MILLIS);
            for (Node entry : entries) entry.start();
        }
        long backMillis = System.currentTimeMillis();
        Thread.sleep(RECOVERY_MILLIS + JUDGED_MILLIS);
        clients.forEach(Client::close);
        Thread.sleep(2500);
        int before = 0;
        int servedBefore = 0;
        int after = 0;
        int servedAfter = 0;
        try (PrintWriter record = new PrintWriter(output.resolve("record.txt").toFile())) {
            record.println("configuration 2 acknowledged at " + faultMillis + ", machines back at " + backMillis);
            for (Client client : clients) {
                for (Client.Answer answer : client.answers) {
                    record.println("sent " + answer.sentMillis() + " " + answer.id() + " answered "
                        + answer.answeredMillis() + " " + answer.status());
                    int served = answer.status() == 200 ? 1 : 0;
                    if (answer.sentMillis() < faultMillis) {
                        before++;
                        servedBefore += served;
                    } else if (answer.sentMillis() > backMillis + RECOVERY_MILLIS) {
                        after++;
                        servedAfter += served;
                    }
                }
            }
            for (Worker.Arrival arrival : worker.arrivals) {
                record.println((arrival.hasRun() ? "ran " : "rejected ") + arrival.atMillis() + " " + arrival.id()
                    + " at " + worker.id);
            }
            String result = "served before the fault " + servedBefore + " of " + before
                + ", later than recovery-s after it " + servedAfter + " of " + after;
            record.println(result);
            System.out.println(result);
        }
        if (servedBefore * 4 < before || after == 0) return 2;
        return servedAfter * 4 < after ? 1 : 0;
    }
}
