import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** One entry, and an agent for each engine, on loopback addresses of their own. */
final class Cluster implements AutoCloseable {
    private final Path directory = Files.createTempDirectory("toucanspur-review");
    private final String net = "127." + (20 + ProcessHandle.current().pid() % 200);
    final Record record;
    final Store store;
    final StoreDoor storeDoor;
    final Origin origin;
    final List<Engine> engines = new ArrayList<>();
    final List<Daemon> agents = new ArrayList<>();
    final Daemon entry;
    final Caller caller;

    Cluster(int engineCount, Record record) throws IOException {
        this.record = record;
        store = new Store(net + ".1.1");
        origin = new Origin(net + ".1.2");
        for (int i = 0; i < engineCount; i++) {
            Engine engine = new Engine(net + ".2." + (i + 1), "e" + i, record);
            engines.add(engine);
            store.put("servers", engine.id, engine.entry());
        }
        storeDoor = new StoreDoor(net + ".1.3", store);
        store.put("config", "main", configuration(1, ""));
        String entryHost = net + ".3.1";
        int port = Daemon.freePorts(entryHost, 4);
        caller = new Caller(entryHost, port, record);
        entry = new Daemon("entry", entryHost, "callers = " + entryHost + ":" + port
            + "\nreadiness = " + entryHost + ":" + (port + 1) + "\npeer-port = " + (port + 2) + "\n",
            storeDoor.address, "", directory, record);
        for (Engine engine : engines) {
            String host = engine.address.substring(0, engine.address.indexOf(':'));
            agents.add(new Daemon("agent", host, "peer-port = " + (port + 2) + "\n", store.address,
                "\n[engine]\naddress = " + engine.address + "\nservice = llm\n", directory, record));
        }
        // Ends the processes also when the case is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private void endAll() {
        agents.forEach(Daemon::end);
        entry.end();
    }

    private static String route(String prefix, boolean isAnonymous) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"svc\",\"path-prefix\":\"/s/" + prefix
            + "/\",\"kind\":\"streaming\",\"timeout-ms\":6000,\"target-latency-ms\":400,"
            + "\"gap-target-ms\":300,\"priority\":1,\"service\":\"llm\",\"attempts\":2,"
            + "\"can-resume\":true,\"sticky\":true,\"allow-anonymous\":" + isAnonymous + "}";
    }

    /** The operator's configuration; {@code tenants} are objects in JSON, or nothing. */
    String configuration(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + route("open", true) + ","
            + route("keyed", false) + ",{\"name\":\"r-desk\",\"host\":\"svc\",\"path-prefix\":"
            + "\"/desk/\",\"kind\":\"non_idempotent\",\"timeout-ms\":600,\"target-latency-ms\":124,"
            + "\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"allow-anonymous\":true}],\"tenants\":[" + tenants + "],\"services\":[{\"name\":\"desk\",\"connection-limit\":100,"
            + "\"cold-per-s\":0,\"health-check-path\":\"/health\"},{\"name\":\"llm\","
            + "\"connection-limit\":424,\"cold-per-s\":36,\"health-check-path\":\"/health\","
            + "\"engine\":{\"slots\":16,\"step_ms\":7.4,\"per_seq_ms\":0.0387,"
            + "\"context_per_k\":0.0203,\"read_per_s\":31900,\"pairs_per_m\":0.733,\"chunk\":2048,"
            + "\"stride\":6,\"usual\":{\"prompt\":900,\"answer\":100},\"report_lag_ms\":200,"
            + "\"models\":[{\"name\":\"m\",\"warm-s\":0.3,\"chunks\":96,\"chunk-bytes\":24576,"
            + "\"layers\":16}]}},{\"name\":\"weights\",\"origin\":\"" + origin.address
            + "\",\"zone\":\"z\",\"link-mbps\":7.3,\"connection-limit\":48}],\"limits\":{"
            + "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
            + "\"idle-timeout-ms\":15000}}";
    }

    void start() throws IOException {
        restart();
        refreshEntries();
    }

    /** Starts a worker without a model and enters it in the store. */
    PlainWorker addPlainWorker(int number) throws IOException {
        PlainWorker worker = new PlainWorker(net + ".4." + number, "p" + number, record);
        store.put("servers", worker.id, worker.entry());
        return worker;
    }

    void restart() throws IOException {
        for (Daemon agent : agents) agent.start();
        entry.start();
    }

    /** Kills all processes of the system. */
    void kill() throws InterruptedException {
        for (Daemon agent : agents) agent.signal("KILL");
        entry.signal("KILL");
        for (Daemon agent : agents) agent.awaitExit();
        entry.awaitExit();
    }

    // Each engine renews its entry; the store reports only changes.
    private void refreshEntries() {
        Thread thread = new Thread(() -> {
            List<String> written = new ArrayList<>();
            engines.forEach(engine -> written.add(engine.entry()));
            while (true) {
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException e) {
                    return;
                }
                for (int i = 0; i < engines.size(); i++) {
                    String text = engines.get(i).entry();
                    if (text.equals(written.get(i))) continue;
                    written.set(i, text);
                    store.put("servers", engines.get(i).id, text);
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Names new weights. */
    void name(long version) {
        origin.newest = version;
        store.put("versions", "m", "{\"model\":\"m\",\"version\":" + version + "}");
        record.line("operator names version " + version);
    }

    /** Sends requests until one is served; returns whether that happened in time. */
    boolean awaitServing(long timeoutMillis) throws InterruptedException {
        long end = System.currentTimeMillis() + timeoutMillis;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            if (caller.send("start-" + i) == 200) return true;
            Thread.sleep(500);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        endAll();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(directory);
    }
}
