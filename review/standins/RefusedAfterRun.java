import java.util.concurrent.atomic.AtomicInteger;

/** An order that has run is answered 503, which promises that it has not. */
final class RefusedAfterRun extends ExtraBytes {
    private final AtomicInteger broken = new AtomicInteger();

    public static void main(String[] arguments) {
        new RefusedAfterRun().play(arguments);
    }

    /** The answer of a worker that sheds, as the pages show it, broken off before its last two line ends. */
    @Override
    String extra() {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1";
    }

    @Override
    boolean fails(int number) {
        return false;
    }

    @Override
    String method() {
        return "POST";
    }

    @Override
    String path() {
        return "/bale/order";
    }

    @Override
    void judge(String id, Wire.Message answer) {
        boolean isPromise = answer.status() == 503 || answer.status() == 429 || answer.status() == 408 || answer.status() == 421;
        if (!isPromise || !statusRunWith.containsKey(id)) return;
        broken.incrementAndGet();
        record.line("BROKEN: " + id + " was answered " + answer.status() + " and has run");
    }

    @Override
    int run() throws Exception {
        serveLoad();
        record.result("ran " + statusRunWith.size() + ", extra bytes " + extras + ", answered with a promise after a run "
            + broken);
        return statusRunWith.isEmpty() ? -1 : broken.get();
    }
}
