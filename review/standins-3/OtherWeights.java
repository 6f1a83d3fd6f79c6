import java.nio.file.Path;

/** A few callers ask the process that is not killed for the new weights, which the old workers do not have. */
final class OtherWeights extends TakenUp {
    private static final int CALLERS = 12;

    private OtherWeights(Lab lab) {
        super(lab);
    }

    public static void main(String[] arguments) throws Exception {
        new OtherWeights(new Lab(Path.of(arguments[0]))).run();
    }

    @Override
    void afterJoin() throws Exception {
        if (!lab.hasTrouble) return;
        for (int each = 0; each < CALLERS; each++) {
            String id = "new-weights-" + each;
            Lab.start(() -> {
                Streams.Read read = new Streams.Read();
                Streams.ask(second, id, DEADLINE, "X-Expect-Version: 2\r\n", read);
                lab.record(id + " " + read.how + ", events " + read.last());
            });
            Lab.sleep(50);
        }
    }
}
