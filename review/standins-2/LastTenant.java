import java.nio.file.Path;

/** A new configuration takes away a tenant with its key: the only one, or one of two without the disruption. */
final class LastTenant {
    private static final long REVOKE_MILLISECONDS = 5_000;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        String first = tenant("acme", "k1");
        String second = tenant("borough", "k2");
        String before = lab.hasTrouble ? first : first + "," + second;
        String after = lab.hasTrouble ? "" : second;
        lab.store.put("op", "config", configuration(1, before));
        Worker worker = lab.add(new Worker("w0", "depot", "derby-a", lab.store, lab.record, 0));
        Gateway front = lab.startGateway("front-1", "derby-a");
        if (!front.awaitReady(25_000)) lab.end(2, "not ready");
        Caller caller = new Caller(front.port, lab.record);
        if (!call(caller, "before", "k1").isSuccess()) lab.end(2, "the key is not accepted at first");
        if (call(caller, "unknown-before", "never").isSuccess()) lab.end(2, "any key is accepted at first");
        lab.store.put("op", "config", configuration(2, after));
        long revokedAt = Record.now();
        lab.record.add("acknowledged version 2 with \"tenants\":[" + after + "]");
        Threads.sleep(REVOKE_MILLISECONDS + 500);
        int late = 0;
        int unknown = 0;
        for (int n = 0; n < 10; n++) {
            int runs = worker.runs.get();
            call(caller, "late-" + n, "k1");
            if (worker.runs.get() > runs) late++;
            runs = worker.runs.get();
            call(caller, "unknown-" + n, "never");
            if (worker.runs.get() > runs) unknown++;
        }
        lab.record.add("sent " + (Record.now() - revokedAt) + " ms and less after the acknowledgement");
        if (!lab.hasTrouble && !call(caller, "other", "k2").isSuccess()) lab.end(2, "no service at the end");
        lab.end(late + unknown > 0 ? 1 : 0, late + " of 10 requests ran that were sent over 5 s after their key was taken away, "
            + unknown + " of 10 with a key that no configuration held");
    }

    private static Caller.Answer call(Caller caller, String id, String key) {
        return caller.call("POST", "/book/x", id, 6_000, "X-Key: " + key + "\r\n", new byte[10]);
    }

    private static String tenant(String name, String key) {
        return String.format(Lab.TENANT, "\"" + key + "\"").replace("acme", name);
    }

    private static String configuration(long version, String tenants) {
        String text = Lab.configuration(version, "");
        return text.substring(0, text.indexOf("\"tenants\":[")) + "\"tenants\":[" + tenants + "]}";
    }
}
