import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of its role in the deploy file. */
final class Daemon {
    private static final Pattern ROLE = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"([^\"]+)\"");

    private final String name;
    private final Record record;
    private final ProcessBuilder builder;
    private Process process;

    Daemon(String role, String host, String ports, String store, String engine, Path directory,
        Record record) throws IOException {
        this.record = record;
        name = role + "-" + host;
        Path settings = Files.writeString(directory.resolve(name + ".ini"), "[node]\nrole = "
            + (role.equals("entry") ? "entry" : "agent") + "\nvm = " + name + "\nhost = " + host
            + "\nzone = z\nregion = r\nzone-regions = z:r\n\n[addresses]\n" + ports
            + "\n[store]\naddress = " + store + "\nheartbeat-millis = 1200\n" + engine
            + "\n[limits]\nmemory-mib = 430\ndescriptors = 1494\nlink-mbit = 5.11\n"
            + "\n[bounds]\ndrain-millis = 2000\ngrace-seconds = 8\nrevocation-millis = 5000\n"
            + "evacuation-millis = 5000\nversion-millis = 8000\nretry-budget-ratio = 0.2\n"
            + "retry-budget-window-seconds = 10\nretry-budget-allowance = 102\n"
            + "cold-allowance = 5\nevent-relay-millis = 120\n");
        builder = new ProcessBuilder(command(role))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        builder.environment().put("TOUCANSPUR_SETTINGS", settings.toString());
    }

    private static List<String> command(String role) throws IOException {
        Matcher matcher = ROLE.matcher(Files.readString(Path.of("deploy/system.toml")));
        while (matcher.find()) {
            if (matcher.group(1).equals(role)) return List.of(matcher.group(2).split(" "));
        }
        throw new IOException("the deploy file has no role " + role);
    }

    /** The first of {@code count} free ports in a row on a loopback address. */
    static int freePorts(String host, int count) throws IOException {
        for (int base = 17700; base < 30000; base += count) {
            int open = 0;
            for (int i = 0; i < count; i++) {
                try (ServerSocket socket =
                    new ServerSocket(base + i, 1, InetAddress.getByName(host))) {
                    open += socket.isBound() ? 1 : 0;
                } catch (IOException e) {
                    break;
                }
            }
            if (open == count) return base;
        }
        throw new IOException("no free ports");
    }

    Daemon start() throws IOException {
        process = builder.start();
        record.line(name + ": started");
        return this;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            record.line(name + ": SIG" + signal);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void end() {
        if (process != null) process.destroyForcibly();
    }

    void awaitExit() throws InterruptedException {
        process.waitFor();
    }
}
