import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * One caller names the version of the weights that it expects, which no worker has. The other callers of two tenants, each
 * with a service of its own, go on as before.
 */
final class VersionExpected {
    private static final int WORKERS = 3;
    private static final int SECONDS = 12;
    private static final int PER_SECOND = 10;

    /** A client's retries, as on the sheet. */
    private static final int RETRIES = 1;

    /** Spans that the rule slides over. */
    private static final int CALM_SECONDS = 6;
    private static Lab lab;

    public static void main(String[] arguments) throws Exception {
        lab = new Lab(Path.of(arguments[0]));
        String text = Lab.configuration(1, "\"k0\"");
        String second = "," + String.format(Lab.TENANT, "\"k1\"").replace("acme", "borough") + "]}";
        lab.store.put("op", "config", text.substring(0, text.length() - 2) + second);
        for (int service = 0; service < 2; service++) {
            for (int i = 0; i < WORKERS; i++) {
                lab.add(new VersionedWorker("i-" + service + "-" + i, "lm" + service, lab.store, lab.record));
            }
        }
        lab.startGateway("front-1", "derby-a");
        lab.startGateway("front-2", "derby-a");
        for (Gateway front : lab.gateways) if (!front.awaitReady(25_000)) lab.end(2, "not ready");
        Threads.sleep(1_500);
        for (int n = 0; n < 20; n++) {
            if (call("before-" + n, n % 2, n / 2, "") == 0) lab.end(2, "not all were served at first");
        }
        String expected = "X-Expect-Version: " + (lab.hasTrouble ? "2" : VersionedWorker.WEIGHTS) + "\r\n";
        for (int n = 0; n < 2 * WORKERS; n++) call("expects-" + n, 0, n, expected);
        Threads.sleep(1_000);
        AtomicIntegerArray[] served = {new AtomicIntegerArray(SECONDS), new AtomicIntegerArray(SECONDS)};
        Thread[] callers = new Thread[2];
        for (int tenant = 0; tenant < 2; tenant++) {
            int own = tenant;
            long start = Record.now();
            callers[tenant] = Threads.daemon("tenant", () -> {
                for (int n = 0; n < SECONDS * PER_SECOND; n++) {
                    Threads.sleep(start + n * 1_000L / PER_SECOND - Record.now());
                    int number = n;
                    Threads.daemon("caller", () -> {
                        int events = call("tenant" + own + "-" + number, own, number, "");
                        if (events > 0) served[own].incrementAndGet(number / PER_SECOND);
                    });
                }
            });
        }
        for (Thread caller : callers) caller.join();
        Threads.sleep(3_500);
        lab.record.add("served second by second: " + served[0] + " and " + served[1]);
        boolean isUnfair = false;
        for (int from = 0; from + CALM_SECONDS <= SECONDS; from++) {
            if (isUnfair(served, from)) isUnfair = true;
        }
        lab.end(isUnfair ? 1 : 0, "of " + PER_SECOND + " a second the tenants were served " + served[0] + " and " + served[1]);
    }

    /** All requests are equally large, so the rule's sums are numbers of requests. */
    private static boolean isUnfair(AtomicIntegerArray[] served, int from) {
        int got = 0;
        int due = 0;
        for (int second = from; second < from + CALM_SECONDS; second++) {
            if (served[0].get(second) == PER_SECOND) return false;
            got += served[0].get(second);
            due += Math.min(PER_SECOND, served[1].get(second));
        }
        return got < due / 2.0 - 3;
    }

    /** Sends a request and its retries, each to another process; returns 1 if it was served, else 0. */
    private static int call(String id, int tenant, int number, String more) {
        long end = Record.now() + 3_000;
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            Gateway front = lab.gateways.get((number + attempt) % 2);
            String headers = "X-Key: k" + tenant + "\r\nX-Model: m\r\nX-Token-Counts: 700,20\r\nX-Prompt-Prefix: aa:200,b"
                + Integer.toHexString(number) + ":500\r\n" + more;
            Caller.Answer answer;
            try (Caller caller = new Caller(front.port, lab.record)) {
                String path = "/brief" + tenant + "/x";
                answer = caller.call("POST", path, id + "-" + attempt, end - Record.now(), headers, new byte[2]);
            }
            if (answer.isSuccess()) return 1;
            String wait = answer.head == null ? null : answer.head.get("Retry-After");
            if (wait == null) return 0;
            Threads.sleep(Math.min((long) (Double.parseDouble(wait) * 1_000), (end - Record.now()) / 3));
        }
        return 0;
    }
}
