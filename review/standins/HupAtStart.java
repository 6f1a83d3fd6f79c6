import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settings change while machines start, and each change is told by SIGHUP. The platform starts a process that has ended
 * again after a short delay.
 */
final class HupAtStart extends Case {
    private static final int MACHINES = 2;
    private static final int STARTS = 3;
    private static final int MILLISECONDS_AFTER_START = 250;
    private static final int RESTART_DELAY_MS = 500;
    private static final int WATCHED_MS = 4_000;

    public static void main(String[] arguments) {
        new HupAtStart().play(arguments);
    }

    @Override
    int run() throws Exception {
        try (Fleet fleet = new Fleet(MACHINES)) {
            fleet.store.put("op", "config", Fleet.configuration(1));
            new Worker(fleet.store, fleet.host, "i-0", "varasto", "espoo-a", 6, (socket, request) -> true).register("ready");
            AtomicInteger machines = new AtomicInteger();
            List<Thread> watchers = new ArrayList<>();
            for (Gateway gateway : fleet.gateways) {
                watchers.add(Threads.start(gateway.name, () -> {
                    if (endsByItself(gateway) >= STARTS) machines.incrementAndGet();
                }));
            }
            for (Thread watcher : watchers) watcher.join();
            record.result("machines whose process ended by itself " + STARTS + " times: " + machines + " of " + MACHINES);
            return machines.get() >= 2 ? machines.get() : 0;
        }
    }

    /** Starts the process up to three times and returns how often it ended by itself. */
    private int endsByItself(Gateway gateway) throws Exception {
        int ends = 0;
        for (int i = 0; i < STARTS; i++) {
            gateway.start();
            record.line(gateway.name + ": started");
            Thread.sleep(MILLISECONDS_AFTER_START);
            gateway.changeSettings();
            if (HAS_TROUBLE) gateway.signal("HUP");
            record.line(gateway.name + ": settings changed" + (HAS_TROUBLE ? ", SIGHUP" : ""));
            long end = System.nanoTime() + WATCHED_MS * 1_000_000L;
            while (gateway.isAlive() && System.nanoTime() < end) Thread.sleep(10);
            if (gateway.isAlive()) {
                record.line(gateway.name + ": runs, ready " + gateway.isReady());
                gateway.end();
            } else {
                ends++;
                record.line(gateway.name + ": ended by itself with code " + gateway.exitCode());
            }
            Thread.sleep(RESTART_DELAY_MS);
        }
        return ends;
    }
}
