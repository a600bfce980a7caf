/**
 * Counts the requests that are served after the machines are back from a kill of all processes, as
 * RECOVER does: those sent later than {@code recovery-s} (12 s) after it.
 */
final class Recovery {
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long COUNTED_MILLIS = 25_000;
    private static final long PAUSE_MILLIS = 150;

    private final Cluster cluster;
    private final Record record;

    Recovery(Cluster cluster) {
        this.cluster = cluster;
        record = cluster.record;
    }

    /** Serves for some seconds, then kills all processes of the system and starts them again. */
    boolean serveAndKill() throws Exception {
        cluster.start();
        if (!cluster.awaitServing(15_000)) return false;
        int[] counts = send("before", 5000);
        record.line("before the final fault: " + counts[1] + " of " + counts[0] + " served");
        if (counts[1] * 4 < counts[0]) return false;
        cluster.kill();
        Thread.sleep(1000);
        cluster.restart();
        record.line("the machines are back");
        return true;
    }

    /** Returns whether a quarter of the requests after the recovery time is served. */
    boolean isRecovered() throws InterruptedException {
        send("recovering", RECOVERY_MILLIS);
        int[] counts = send("after", COUNTED_MILLIS);
        record.line("later than 12 s after the machines were back: " + counts[1] + " of "
            + counts[0] + " served");
        return counts[1] * 4 >= counts[0];
    }

    private int[] send(String prefix, long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        int[] counts = {0, 0};
        while (System.currentTimeMillis() < end) {
            if (cluster.caller.send(prefix + "-" + counts[0]) == 200) counts[1]++;
            counts[0]++;
            Thread.sleep(PAUSE_MILLIS);
        }
        return counts;
    }
}
