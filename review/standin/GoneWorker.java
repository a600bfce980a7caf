import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the store cuts off the waiting watches twice. A worker that leaves without a word is removed
 * from the store between the two.
 */
final class GoneWorker {
    private static final long DRAIN_MILLIS = 2000;
    private static final long EXIT_MILLIS = 2600;

    private GoneWorker() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, GoneWorker::run);
    }

    private static int run(boolean isTrouble, Record record) throws Exception {
        try (Cluster cluster = new Cluster(1, record)) {
            PlainWorker leaving = cluster.addPlainWorker(1);
            cluster.addPlainWorker(2);
            AtomicInteger late = new AtomicInteger();
            AtomicInteger failed = new AtomicInteger();
            long[] goneMillis = {Long.MAX_VALUE / 2};
            Map<String, Boolean> lateRequests = new ConcurrentHashMap<>();
            leaving.onArrival = request -> {
                if (System.currentTimeMillis() <= goneMillis[0] + DRAIN_MILLIS) return;
                late.incrementAndGet();
                lateRequests.put(request, true);
            };
            cluster.start();
            if (!cluster.awaitServing(15_000)) return ReviewCase.NOT_RUN;
            Thread.sleep(4000);
            Thread operator = new Thread(() -> {
                try {
                    operate(isTrouble, cluster, leaving, goneMillis);
                } catch (InterruptedException e) {
                    record.line("interrupted");
                }
            });
            operator.start();
            for (int i = 0; operator.isAlive(); i++) {
                String request = "d" + i;
                Thread caller = new Thread(() -> {
                    int status = cluster.caller.send(request, "/desk/x", "");
                    if (status != 200 && lateRequests.containsKey(request)) failed.incrementAndGet();
                });
                caller.setDaemon(true);
                caller.start();
                Thread.sleep(20);
            }
            Thread.sleep(1000);
            record.line("requests that reached the worker later than 2 s after it was gone: " + late
                + ", of which not answered with success: " + failed);
            return late.get() > 0 ? ReviewCase.BROKEN : ReviewCase.HELD;
        }
    }

    private static void operate(boolean isTrouble, Cluster cluster, PlainWorker leaving,
        long[] goneMillis) throws InterruptedException {
        Thread.sleep(1000);
        cut(isTrouble, cluster);
        Thread.sleep(1600);
        cluster.store.remove("servers", leaving.id);
        goneMillis[0] = System.currentTimeMillis();
        cluster.record.line("the store acknowledges that " + leaving.id + " is gone");
        Thread.sleep(100);
        cut(isTrouble, cluster);
        Thread.sleep(EXIT_MILLIS - 100);
        leaving.exit();
        cluster.record.line(leaving.id + ": exits");
        Thread.sleep(2000);
    }

    private static void cut(boolean isTrouble, Cluster cluster) {
        if (!isTrouble) return;
        cluster.record.line("the store cuts off the waiting watches");
        cluster.store.cutWatches();
    }
}
