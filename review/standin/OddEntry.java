import java.nio.file.Path;

/**
 * Case: after a kill of all processes, another writer puts an entry with missing fields among those
 * of the workers. Its address is that of a sound worker.
 */
final class OddEntry {
    private OddEntry() {}

    public static void main(String[] arguments) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(run(isTrouble, new Record(Path.of(arguments[0], "record.txt"))));
    }

    private static int run(boolean isTrouble, Record record) throws Exception {
        try (Cluster cluster = new Cluster(1, record)) {
            Recovery recovery = new Recovery(cluster);
            if (!recovery.serveAndKill()) return 2;
            if (isTrouble) {
                // Without version, cold-remaining-ms, sequence, stage and models.
                String entry = "{\"service\":\"llm\",\"address\":\"" + cluster.engines.get(0).address
                    + "\",\"zone\":\"z\",\"slots\":16,\"state\":\"ready\",\"born\":"
                    + System.currentTimeMillis() + "}";
                cluster.store.put("servers", "inventory-7", entry);
                record.line("another writer puts servers/inventory-7: " + entry);
                Thread.sleep(5000);
                cluster.store.remove("servers", "inventory-7");
                record.line("servers/inventory-7 is removed");
            }
            return recovery.isRecovered() ? 0 : 1;
        }
    }
}
