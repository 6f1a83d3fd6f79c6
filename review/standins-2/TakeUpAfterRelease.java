import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The only worker of a service is replaced by one of a new version. One process is cut off from the store meanwhile, and
 * the other one is killed once it has begun streams at the new version, so that their callers take them up at the first.
 *
 * Each round does this to another service. With {@code CUT=0} the cut is left out.
 */
final class TakeUpAfterRelease {
    private static final int ROUNDS = 8;
    private static final int STREAMS = 5;

    /** Time after the old worker's report in which no request for the service comes. */
    private static final long QUIET = 280;

    /** Length of a cut; the pages' site file has 5.5 s. */
    private static final long CUT_MILLISECONDS = 5_500;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        boolean hasCut = lab.hasTrouble && !"0".equals(System.getenv("CUT"));
        lab.store.put("op", "config", Lab.configuration(1, "\"k1\""));
        List<StreamWorker> olds = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            olds.add(lab.add(new StreamWorker("i-" + i + "-1", "lm" + i, "v1", "derby-a", lab.store, lab.record)));
        }
        Proxy path = new Proxy(lab.store.address());
        Gateway first = lab.startGateway("front-1", "derby-a");
        Gateway second = lab.startGateway("front-2", "walsall-a", path.address());
        for (Gateway front : lab.gateways) if (!front.awaitReady(25_000)) lab.end(2, "not ready");
        Threads.sleep(4_000);
        int mixed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long cutUntil = Record.now() + CUT_MILLISECONDS;
            if (hasCut) path.setCut(true);
            Threads.sleep(1_500);
            StreamWorker old = olds.get(round);
            lab.add(new StreamWorker("i-" + round + "-2", "lm" + round, "v2", "derby-a", lab.store, lab.record));
            Threads.sleep(50);
            old.drain();
            Threads.sleep(QUIET);
            List<StreamCaller> callers = new ArrayList<>();
            long end = Record.now() + 2_000;
            while (Record.now() < end && callers.stream().filter(c -> "v2".equals(c.firstVersion)).count() < STREAMS) {
                StreamCaller caller = new StreamCaller("/brief" + round + "/x", lab.record);
                callers.add(caller);
                Threads.daemon("caller", () -> caller.run(4, 12_000, first.port, second.port));
                Threads.sleep(20);
            }
            if (lab.hasTrouble) first.kill();
            Threads.sleep(1_000);
            if (lab.hasTrouble) first.start();
            Threads.sleep(Math.max(1_500, cutUntil - Record.now()));
            path.setCut(false);
            Threads.sleep(500);
            old.close();
            lab.store.remove("servers", old.id);
            if (!first.awaitReady(25_000)) lab.end(2, "not ready again");
            long both = callers.stream().filter(c -> c.versions.size() > 1).count();
            mixed += both;
            String result = "round " + round + ": " + both + " of " + callers.size() + " streams hold two versions";
            lab.record.add(result);
            System.out.println(result);
            Threads.sleep(1_000);
        }
        path.close();
        lab.end(mixed > 2 ? 1 : 0, mixed + " streams hold events of two software versions; the rule allows 2");
    }
}
