import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, with the command of its role in the deploy file. */
final class Node implements AutoCloseable {
    static final int CALLERS = 17001;
    static final int READINESS = 17002;
    static final int PEERS = 17003;

    private final String role;
    private final Path settings;
    private final Path log;
    final String host;
    private Process process;

    /** [engineSection] is the section of the worker on the machine; empty for an entry. */
    Node(String role, String host, String store, String engineSection, Path folder) throws IOException {
        this.role = role;
        this.host = host;
        settings = folder.resolve(role + "-" + host + ".ini");
        log = folder.resolve(role + "-" + host + ".log");
        boolean isEntry = role.equals("entry");
        Files.writeString(settings, "[node]\nrole = " + role + "\nvm = " + role + "-" + host
            + "\nhost = " + host + "\nzone = z1\nregion = r1\nzone-regions = z1:r1\n[addresses]\n"
            + (isEntry ? "callers = " + host + ":" + CALLERS + "\n" : "")
            + (isEntry ? "readiness = " + host + ":" + READINESS + "\n" : "")
            + "peer-port = " + PEERS + "\n[store]\naddress = " + store + "\nheartbeat-millis = 1200\n"
            + engineSection
            + "[limits]\nmemory-mib = " + (isEntry ? 430 : 298) + "\ndescriptors = "
            + (isEntry ? 4200 : 1494) + "\nlink-mbit = " + (isEntry ? "1000.0" : "5.11") + "\n"
            + "[bounds]\ndrain-millis = 2000\ngrace-seconds = 8\nrevocation-millis = 5000\n"
            + "evacuation-millis = 5000\nconfiguration-millis = 2000\nstability-millis = 3000\n"
            + "version-millis = 8000\nretry-budget-ratio = 0.2\nretry-budget-window-seconds = 10\n"
            + "retry-budget-allowance = 102\ncold-allowance = 5\nevent-relay-millis = 120\n");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("TOUCANSPUR_SETTINGS", settings.toString());
        process = builder.start();
    }

    private static List<String> command(String role) throws IOException {
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no role " + role + " in the deploy file");
        return List.of(run.group(1).split(" "));
    }

    /** Waits until the process says that it is ready. */
    boolean awaitReady(long timeoutMillis) throws InterruptedException {
        long end = System.currentTimeMillis() + timeoutMillis;
        while (System.currentTimeMillis() < end) {
            if (Cases.get(host, READINESS, "/v1/ready", 500) == 200) return true;
            Thread.sleep(50);
        }
        return false;
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Stops the process with SIGSTOP, or continues it with SIGCONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
