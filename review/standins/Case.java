import java.nio.file.Path;

/** Runs a case and ends the process with its exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** Whether the disruption is part of the run. */
    static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    Record record;

    /** Runs the case and returns how many times the rule was broken; negative if it couldn't run. */
    abstract int run() throws Exception;

    final void play(String[] arguments) {
        record = new Record(Path.of(arguments[0]));
        int code;
        try {
            int broken = run();
            code = broken < 0 ? NOT_RUN : broken > 0 ? BROKEN : HELD;
        } catch (Exception failure) {
            record.result("the case could not run: " + failure);
            code = NOT_RUN;
        }
        record.result("exit " + code);
        System.exit(code);
    }
}
