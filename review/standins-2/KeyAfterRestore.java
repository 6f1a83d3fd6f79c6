import java.nio.file.Path;

/**
 * A key is taken away; then the store is away for a moment and comes back from a copy that is older. The processes are
 * killed while it is away and start again, and the operator writes the configuration again shortly after its return.
 */
final class KeyAfterRestore {
    /** The store comes back from a copy as many milliseconds old. */
    private static final long COPY_AGE = 7_000;
    private static final long AWAY = 3_500;

    /** After its return the operator writes again what the store lost; workers do so within about two seconds. */
    private static final long WRITTEN_AGAIN_AFTER = 1_500;
    private static final long REVOKE_MILLISECONDS = 5_000;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.store.put("op", "config", Lab.configuration(1, "\"k1\",\"k2\""));
        for (int i = 0; i < 2; i++) lab.add(new Worker("w" + i, "depot", "derby-a", lab.store, lab.record, 0));
        lab.startGateway("front-1", "derby-a");
        lab.startGateway("front-2", "leicester-b");
        for (Gateway front : lab.gateways) if (!front.awaitReady(25_000)) lab.end(2, "not ready");
        Threads.sleep(3_000);
        for (Gateway front : lab.gateways) {
            if (!call(lab, front, "before-" + front.name, "k2").isSuccess()) lab.end(2, "the key is not accepted at first");
        }
        lab.store.copy("drill");
        lab.record.add("the copy is made");
        long returnsAt = Record.now() + COPY_AGE;
        Threads.sleep(1_000);
        lab.store.put("op", "config", Lab.configuration(2, "\"k1\""));
        long revokedAt = Record.now();
        lab.record.add("acknowledged version 2, which takes k2 away");
        Threads.sleep(returnsAt - AWAY - Record.now());
        if (lab.hasTrouble) {
            lab.store.setDown(true);
            lab.record.add("the store is away");
            for (Gateway front : lab.gateways) front.kill();
            Threads.sleep(500);
            for (Gateway front : lab.gateways) front.start();
        }
        Threads.sleep(returnsAt - Record.now());
        if (lab.hasTrouble) {
            lab.store.restore("drill");
            lab.store.setDown(false);
            lab.record.add("the store is back, from the copy");
            lab.workers.forEach(Worker::beat);
            Threads.daemon("operator", () -> {
                Threads.sleep(WRITTEN_AGAIN_AFTER);
                lab.store.put("op", "config", Lab.configuration(2, "\"k1\""));
                lab.record.add("the operator has written version 2 again");
            });
        }
        int late = 0;
        long end = Record.now() + 6_000;
        for (int n = 0; Record.now() < end; n++) {
            Caller.Answer answer = call(lab, lab.gateways.get(n % 2), "k2-" + n, "k2");
            if (answer.isSuccess() && answer.sentAt > revokedAt + REVOKE_MILLISECONDS) late++;
            Threads.sleep(25);
        }
        for (Gateway front : lab.gateways) {
            if (!call(lab, front, "last-" + front.name, "k1").isSuccess()) lab.end(2, "no service at the end");
        }
        lab.end(late > 0 ? 1 : 0, late + " requests ran that were sent over 5 s after their key was taken away");
    }

    private static Caller.Answer call(Lab lab, Gateway front, String id, String key) {
        try (Caller caller = new Caller(front.port, lab.record)) {
            return caller.call("GET", "/stock/x", id, 3_000, "X-Key: " + key + "\r\n", new byte[0]);
        }
    }
}
