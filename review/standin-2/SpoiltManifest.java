import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All processes are killed right after a weight version was acknowledged, and the origin of weights
 * spoils one answer to each agent that starts again: its manifest. Checks that a quarter of the requests
 * is served later than recovery-s after the machines are back.
 */
final class SpoiltManifest {
    private static final int PORT = 17010;
    private static final int AGENTS = 2;
    private static final long DOWN_MILLIS = 1000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long JUDGED_MILLIS = 15_000;

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = Cases.isTroubled();
        Path folder = Files.createTempDirectory("case");
        String subnet = Cases.freeSubnet(20, Node.CALLERS, PORT);
        List<Engine> engines = new ArrayList<>();
        List<Node> nodes = new ArrayList<>();
        int exit = 2;
        try (Store store = new Store(50); Origin origin = new Origin()) {
            store.put("config", "main", configuration(origin));
            store.put("versions", Weights.MODEL, "{\"model\":\"" + Weights.MODEL + "\",\"version\":1}");
            Node entry = new Node("entry", subnet + "1", store.address(), "", folder);
            nodes.add(entry);
            for (int i = 0; i < AGENTS; i++) {
                String host = subnet + (i + 10);
                Engine engine = new Engine("i-" + i, host, PORT);
                engines.add(engine);
                store.put("servers", engine.id, engine.record());
                nodes.add(new Node("agent", host, store.address(),
                    "[engine]\naddress = " + engine.address + "\nservice = llm\n", folder));
            }
            for (Node node : nodes) node.start();
            if (entry.awaitReady(20_000)) {
                exit = run(store, origin, entry, nodes, engines, isTroubled, Path.of(arguments[0]));
            }
        } finally {
            for (Node node : nodes) node.close();
            engines.forEach(Engine::close);
        }
        System.exit(exit);
    }

    private static String configuration(Origin origin) {
        return "{\"version\":1,\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1000000,"
            + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":10000},\"tenants\":[],"
            + "\"routes\":[{\"name\":\"notes\",\"host\":\"notes.example\",\"path-prefix\":\"/notes/\","
            + "\"kind\":\"streaming\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"gap-target-ms\":300,"
            + "\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"can-resume\":true,\"sticky\":true}],"
            + "\"services\":[{\"name\":\"llm\",\"health-check-path\":\"/health\",\"connection-limit\":424,"
            + "\"cold-per-s\":36,\"engine\":{\"slots\":16,\"step_ms\":7.4,\"per_seq_ms\":0.0387,"
            + "\"context_per_k\":0.0203,\"read_per_s\":31900,\"stride\":6,\"usual\":{\"prompt\":900,"
            + "\"answer\":100},\"models\":[{\"name\":\"" + Weights.MODEL + "\",\"warm-s\":0.3}]}},"
            + "{\"name\":\"weights\",\"origin\":\"" + origin.address() + "\",\"zone\":\"z1\","
            + "\"connection-limit\":48}]}";
    }

    private static int run(Store store, Origin origin, Node entry, List<Node> nodes, List<Engine> engines,
        boolean isTroubled, Path output) throws Exception {
        Client client = new Client(entry.host, "a", "GET /notes/x HTTP/1.1\r\nHost: notes.example\r\nX-Model: "
            + Weights.MODEL + "\r\nX-Token-Counts: 900,60\r\nX-Prompt-Prefix: 5c1e07a2:40,e4402b7d:860\r\n", 6000);
        Thread.sleep(2000);
        client.start(15);
        Thread.sleep(5000);
        store.put("versions", Weights.MODEL, "{\"model\":\"" + Weights.MODEL + "\",\"version\":2}");
        long faultMillis = System.currentTimeMillis();
        if (isTroubled) {
            for (Node node : nodes) node.kill();
            origin.spoiltManifests.set(AGENTS);
            Thread.sleep(DOWN_MILLIS);
            for (Node node : nodes) node.start();
        }
        long backMillis = System.currentTimeMillis();
        Thread.sleep(RECOVERY_MILLIS + JUDGED_MILLIS);
        client.close();
        Thread.sleep(7000);
        int before = 0;
        int servedBefore = 0;
        int after = 0;
        int servedAfter = 0;
        try (PrintWriter record = new PrintWriter(output.resolve("record.txt").toFile())) {
            record.println("version 2 acknowledged at " + faultMillis + ", machines back at " + backMillis);
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
            for (Engine engine : engines) {
                for (Engine.Run run : engine.runs) {
                    record.println("ran " + run.atMillis() + " " + run.id() + " at " + engine.id
                        + " on version " + run.version());
                }
                record.println(engine.id + " has version " + engine.version() + " at the end");
            }
            String result = "served before the fault " + servedBefore + " of " + before
                + ", later than recovery-s after it " + servedAfter + " of " + after + "; the origin spoilt "
                + origin.spoiltAnswers.get() + " of " + origin.answers.get() + " answers";
            record.println(result);
            System.out.println(result);
        }
        if (servedBefore * 4 < before || after == 0) return 2;
        return servedAfter * 4 < after ? 1 : 0;
    }
}
