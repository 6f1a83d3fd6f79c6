import java.nio.file.Path;

/** Callers of the process that is killed send prompts of many parts. */
final class LongPrompts extends TakenUp {
    private static final int PARTS = 1_150;
    private static final int FEW_PARTS = 3;
    private static final int PER_SECOND = 48;

    private LongPrompts(Lab lab) {
        super(lab);
    }

    public static void main(String[] arguments) throws Exception {
        new LongPrompts(new Lab(Path.of(arguments[0]))).run();
    }

    @Override
    void beforeStreams() throws Exception {
        Lab.start(() -> {
            for (int each = 0; ; each++) {
                String id = "short-" + each;
                String prompt = prompt(each, lab.hasTrouble ? PARTS : FEW_PARTS);
                Lab.start(() -> {
                    Streams.Read read = new Streams.Read();
                    Streams.ask(first, id, prompt, 5_000, "", read);
                    lab.record(id + " " + read.how + ", events " + read.last());
                });
                Lab.sleep(1_000 / PER_SECOND);
            }
        });
        Lab.sleep(2_000);
    }

    /** Returns the headers of a prompt of 2,368 tokens in {@code parts} parts, two thirds of which all prompts share. */
    private static String prompt(int number, int parts) {
        StringBuilder text = new StringBuilder("X-Token-Counts: 2368,4\r\nX-Prompt-Prefix: ");
        int left = 2_368;
        for (int part = 0; part < parts; part++) {
            int id = part < parts * 2 / 3 ? part : (number + 1) * 2_000 + part;
            int tokens = left / (parts - part);
            left -= tokens;
            text.append(part == 0 ? "" : ",").append(String.format("%08x", id)).append(':').append(tokens);
        }
        return text.append("\r\n").toString();
    }
}
