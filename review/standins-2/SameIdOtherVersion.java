import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One worker of two crashes and starts again under its id, with a new version of its software; shortly after its return the
 * other one crashes. Each round does this to another service.
 */
final class SameIdOtherVersion {
    private static final int ROUNDS = 8;
    private static final int STREAMS = 12;
    private static final int WORKERS = 2;

    /** Time for which the first worker is down; 4.5 s on the site's list. */
    private static final long DOWN = 2_000;

    /** Time from its return, and its registration, to the crash of the second one. */
    private static final long BETWEEN = 300;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.store.put("op", "config", Lab.configuration(1, "\"k1\""));
        List<StreamWorker[]> services = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            StreamWorker[] workers = new StreamWorker[WORKERS];
            for (int w = 0; w < WORKERS; w++) workers[w] = lab.add(worker(lab, i, "i-" + i + "-" + w, "v1", 0));
            services.add(workers);
        }
        Gateway front = lab.startGateway("front-1", "derby-a");
        if (!front.awaitReady(25_000)) lab.end(2, "not ready");
        Threads.sleep(2_000);
        int mixed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            StreamWorker[] workers = services.get(round);
            List<StreamCaller> callers = new ArrayList<>();
            for (int n = 0; n < STREAMS; n++) {
                StreamCaller caller = new StreamCaller("/brief" + round + "/x", lab.record);
                callers.add(caller);
                Threads.daemon("caller", () -> caller.run(2, 12_000, front.port));
                Threads.sleep(20);
            }
            Threads.sleep(500);
            if (lab.hasTrouble) {
                lab.record.add("worker " + workers[0].id + " crashes");
                workers[0].crash();
            }
            Threads.sleep(DOWN);
            if (lab.hasTrouble) {
                StreamWorker again = lab.add(worker(lab, round, workers[0].id, "v2", workers[0].port()));
                lab.record.add("worker " + again.id + " has started again with version v2, and is registered");
                Threads.sleep(BETWEEN);
                lab.record.add("worker " + workers[1].id + " crashes");
                workers[1].crash();
            }
            Threads.sleep(2_000);
            long both = callers.stream().filter(c -> c.versions.size() > 1).count();
            mixed += both;
            String result = "round " + round + ": " + both + " of " + STREAMS + " streams hold two versions";
            lab.record.add(result);
            System.out.println(result);
        }
        lab.end(mixed > 2 ? 1 : 0, mixed + " streams hold events of two software versions; the rule allows 2");
    }

    private static StreamWorker worker(Lab lab, int service, String id, String version, int port) throws Exception {
        StreamWorker worker = new StreamWorker(id, "lm" + service, version, "derby-a", lab.store, lab.record, port);
        worker.events = 100;
        return worker;
    }
}
