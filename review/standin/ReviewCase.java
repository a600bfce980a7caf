import java.nio.file.Path;

/** A case of the review. */
interface ReviewCase {
    /** Exit codes: the rule held, it was broken, the case could not run. */
    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    /** Runs the case, with the disruption if {@code isTrouble}; returns an exit code. */
    int run(boolean isTrouble, Record record) throws Exception;

    /** Runs the case with the record in the folder {@code arguments[0]}, and exits. */
    static void main(String[] arguments, ReviewCase reviewCase) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try {
            code = reviewCase.run(isTrouble, new Record(Path.of(arguments[0], "record.txt")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        // Any other exit of the JVM, such as 1 for a missing class, is not the result of a case.
        System.exit(code == BROKEN ? 10 : code);
    }
}
