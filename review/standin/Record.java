import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record {
    private final long startMillis = System.currentTimeMillis();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        writer.printf("%9.3f s  %s%n", (System.currentTimeMillis() - startMillis) / 1000.0, text);
        writer.flush();
    }
}
