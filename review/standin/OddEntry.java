/**
 * Case: after a kill of all processes, another writer puts an entry with missing fields among those
 * of the workers. Its address is that of a sound worker.
 */
final class OddEntry {
    private OddEntry() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, OddEntry::run);
    }

    private static int run(boolean isTrouble, Record record) throws Exception {
        try (Cluster cluster = new Cluster(1, record)) {
            Recovery recovery = new Recovery(cluster);
            if (!recovery.serveAndKill()) return ReviewCase.NOT_RUN;
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
            return recovery.isRecovered() ? ReviewCase.HELD : ReviewCase.BROKEN;
        }
    }
}
