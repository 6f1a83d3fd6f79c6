import java.util.concurrent.atomic.AtomicInteger;

/** A failure of a worker reaches the client as a success. */
final class FailureAsSuccess extends ExtraBytes {
    /** One failure in so many answers: the site's share of errors, 0.14. */
    private static final int ANSWERS_PER_FAILURE = 7;

    private final AtomicInteger broken = new AtomicInteger();

    public static void main(String[] arguments) {
        new FailureAsSuccess().play(arguments);
    }

    /** The begin of a second answer, broken off within its second line. */
    @Override
    String extra() {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain";
    }

    @Override
    boolean fails(int number) {
        return number % ANSWERS_PER_FAILURE == 1;
    }

    @Override
    String method() {
        return "GET";
    }

    @Override
    String path() {
        return "/log/batch";
    }

    @Override
    void judge(String id, Wire.Message answer) {
        boolean isSuccess = answer.status() / 100 == 2;
        if (!isSuccess || !answer.text().startsWith("failed")) return;
        broken.incrementAndGet();
        record.line("BROKEN: " + id + " was answered " + answer.status() + " with the body of a failure: " + answer.text());
    }

    @Override
    int run() throws Exception {
        serveLoad();
        record.result("ran " + statusRunWith.size() + ", extra bytes " + extras
            + ", failures of workers answered as a success " + broken);
        return statusRunWith.isEmpty() ? -1 : broken.get();
    }
}
