import java.nio.file.Path;

/**
 * After a quiet minute, requests with a part of a prompt come that crashes each worker. Sound requests, which share their
 * caller and the first part of the prompt with them, come after that.
 */
final class DeadlyPart {
    private static final int WORKERS = 4;
    private static final int SOUND_BEFORE = 30;
    private static final int SOUND_AFTER = 60;
    private static final int DEADLY = 5;

    /** Time without requests of this kind, as at night. */
    private static final long QUIET = 61_000;
    private static final long CONTACT = 4_000;
    private static final String COMMON_PART = "a1:6300";
    private static Lab lab;
    private static Gateway front;
    private static int sent;

    public static void main(String[] arguments) throws Exception {
        lab = new Lab(Path.of(arguments[0]));
        lab.store.put("op", "config", Lab.configuration(1, "\"k1\""));
        for (int i = 0; i < WORKERS; i++) lab.add(new CrashingWorker(lab, 0));
        front = lab.startGateway("front-1", "derby-a");
        if (!front.awaitReady(20_000)) lab.end(2, "not ready");
        Threads.sleep(500);
        int before = 0;
        for (int n = 0; n < SOUND_BEFORE; n++) {
            if (sound()) before++;
            Threads.sleep(50);
        }
        if (before < 20) lab.end(2, "only " + before + " of " + SOUND_BEFORE + " sound requests began at first");
        Threads.sleep(QUIET);
        for (int n = 0; n < DEADLY; n++) {
            if (lab.hasTrouble) deadly();
            Threads.sleep(700);
        }
        Threads.sleep(Math.max(CrashingWorker.lastCrashAt, Record.now() - 700) + 2 * CONTACT + 200 - Record.now());
        int after = 0;
        for (int n = 0; n < SOUND_AFTER; n++) {
            if (lab.hasTrouble && n % 10 == 0) Threads.daemon("deadly", DeadlyPart::deadly);
            if (sound()) after++;
            Threads.sleep(100);
        }
        boolean isLost = after * 2 * SOUND_BEFORE < before * SOUND_AFTER;
        lab.end(isLost ? 1 : 0, "sound requests began: " + before + " of " + SOUND_BEFORE + " before, " + after + " of " + SOUND_AFTER
            + " from " + 2 * CONTACT + " ms after the last crash on; " + CrashingWorker.CRASHES + " crashes");
    }

    private static boolean sound() {
        int number = next();
        return call("sound-" + number, "b" + Integer.toHexString(number) + ":400");
    }

    private static void deadly() {
        call("deadly-" + next(), CrashingWorker.DEADLY_PART + ":400");
    }

    private static synchronized int next() {
        return sent++;
    }

    /** Sends a request with a body and a last part of its own; returns whether it was served at the first attempt. */
    private static boolean call(String id, String part) {
        String last = "c" + Integer.toHexString(id.hashCode()) + ":100";
        String headers = "X-Key: k1\r\nX-Model: m\r\nX-Token-Counts: 6800,20\r\nX-Prompt-Prefix: " + COMMON_PART + "," + part
            + "," + last + "\r\n";
        try (Caller caller = new Caller(front.port, lab.record)) {
            return caller.call("POST", "/brief0/x", id, 3_000, headers, ("{\"text\":\"" + id + "\"}").getBytes()).isSuccess();
        }
    }
}
