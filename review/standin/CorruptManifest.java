import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case: the origin sends one manifest with one wrong digit, after a kill of all processes. All its
 * other answers are right.
 */
final class CorruptManifest {
    private CorruptManifest() {}

    public static void main(String[] arguments) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(run(isTrouble, new Record(Path.of(arguments[0], "record.txt"))));
    }

    private static int run(boolean isTrouble, Record record) throws Exception {
        try (Cluster cluster = new Cluster(1, record)) {
            Recovery recovery = new Recovery(cluster);
            if (!recovery.serveAndKill()) return 2;
            AtomicBoolean isPending = new AtomicBoolean(isTrouble);
            cluster.origin.manifestFilter = text -> {
                boolean isTarget = text.contains("\"version\":2,");
                if (!isTarget || !isPending.getAndSet(false)) return text;
                record.line("the origin spoils one digit of a manifest");
                int position = text.indexOf("\"]}") - 1;
                char wrong = text.charAt(position) == '0' ? '1' : '0';
                return text.substring(0, position) + wrong + text.substring(position + 1);
            };
            Thread operator = new Thread(() -> {
                try {
                    Thread.sleep(1500);
                    cluster.name(2);
                    Thread.sleep(8000);
                    cluster.name(3);
                } catch (InterruptedException e) {
                    record.line("interrupted");
                }
            });
            operator.start();
            boolean isRecovered = recovery.isRecovered();
            record.line("engine holds version " + cluster.engines.get(0).loaded);
            if (isTrouble && isPending.get()) return 2;
            return isRecovered ? 0 : 1;
        }
    }
}
