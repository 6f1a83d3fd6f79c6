import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A release has begun: two workers of the new software version serve beside the two of the old one. One process is killed,
 * and the callers of its streams, all of the old version, take these up at the other one, which no disruption has touched.
 */
abstract class TakenUp {
    static final int DEADLINE = 15_000;
    private static final int EVENTS = 60;
    private static final int STREAMS = 48;

    final Lab lab;
    Lab.Gateway first;
    Lab.Gateway second;

    TakenUp(Lab lab) {
        this.lab = lab;
    }

    /** Does what the case is about before the streams begin. */
    void beforeStreams() throws Exception {
    }

    /** Does what the case is about once the workers of the new version serve. */
    void afterJoin() throws Exception {
    }

    final void run() throws Exception {
        lab.configure(7, Routes.route("r-chat", "/chat/", "streaming", DEADLINE, 500, "lm", 2, true),
            Routes.engines("lm"), null);
        startWorkers(1);
        first = lab.startGateway("front-derby-a-1");
        second = lab.startGateway("front-derby-a-2");
        if (!lab.awaitReady(first) || !lab.awaitReady(second)) lab.end(Lab.NOT_RUN, "not ready within 30 s");
        Lab.sleep(8_000);
        beforeStreams();
        List<Streams.Read> begun = begin(first, "begun");
        startWorkers(2);
        lab.record("two workers of the new version have come");
        Lab.sleep(1_500);
        afterJoin();
        Lab.sleep(1_500);
        first.signal("KILL");
        lab.record(first.name + " is killed");
        Lab.sleep(100);
        takeUp(begun);
    }

    private void startWorkers(int version) throws Exception {
        for (int each = 0; each < 2; each++) {
            Worker worker = new Worker("v" + version + "-" + each, call -> work(lab, call, version));
            lab.register(worker, "lm", 64, Integer.toString(version));
        }
    }

    private void takeUp(List<Streams.Read> begun) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        AtomicInteger goneOn = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int each = 0; each < begun.size(); each++) {
            Streams.Read read = begun.get(each);
            String id = "taken-" + each;
            if (read.last() == 0 || read.isComplete) continue;
            taken.incrementAndGet();
            callers.add(Lab.start(() -> {
                int before = read.last();
                for (int attempt = 0; attempt < 3 && read.last() == before; attempt++) {
                    Streams.ask(second, id + "-" + attempt, DEADLINE - 4_000, "", read);
                    lab.record(id + "-" + attempt + " after event " + before + " " + read.how + ", last event "
                        + read.last());
                    Lab.sleep(700);
                }
                if (read.last() > before) goneOn.incrementAndGet();
            }));
        }
        List<Streams.Read> fresh = begin(second, "new");
        for (Thread caller : callers) caller.join(DEADLINE);
        long begins = fresh.stream().filter(read -> read.last() > 0).count();
        double shareOn = (double) goneOn.get() / Math.max(1, taken.get());
        double shareNew = (double) begins / fresh.size();
        if (taken.get() < 12) lab.end(Lab.NOT_RUN, "only " + taken + " streams were broken off");
        lab.end(shareOn < shareNew / 2 ? Lab.BROKEN : Lab.HELD, "of " + taken + " streams of version 1 " + goneOn
            + " went on, while two workers of version 1 served; of " + fresh.size() + " new streams " + begins
            + " began");
    }

    private List<Streams.Read> begin(Lab.Gateway gateway, String name) throws Exception {
        List<Streams.Read> reads = new ArrayList<>();
        for (int each = 0; each < STREAMS; each++) {
            Streams.Read read = new Streams.Read();
            String id = name + "-" + each;
            reads.add(read);
            Lab.start(() -> {
                Streams.ask(gateway, id, DEADLINE, "", read);
                lab.record(id + " " + read.how + ", events " + read.last()
                    + (read.last() == 0 ? "" : " from " + read.writers.get(0)));
            });
            Lab.sleep(20);
        }
        return reads;
    }

    /** Answers as an engine does: 421 if the request expects other weights, else a stream. */
    private static void work(Lab lab, Worker.Call call, int weights) throws Exception {
        String expected = call.head.header("X-Expect-Version");
        boolean runs = expected == null || expected.equals(Integer.toString(weights));
        lab.record(call.worker.id + (runs ? " runs " : " answers 421 to ") + call.id());
        if (runs) {
            boolean isShort = call.id().startsWith("short");
            Streams.write(call, isShort ? 1 : EVENTS, isShort ? 10 : 200, weights);
        } else {
            call.write("HTTP/1.1 421 X\r\nX-Request-Id: " + call.id() + "\r\nX-Not-Executed: 1\r\n"
                + "Content-Length: 0\r\n\r\n");
        }
    }
}
