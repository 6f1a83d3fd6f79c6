import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** A process is stopped as planned while callers read long answers over narrow links. */
final class SlowReaders {
    private static final int TIMEOUT = 15_000;
    private static final int GRACE_MS = 8_000;
    private static final int CALLERS = 3;
    private static final int ANSWER = 8_000_000;
    private static final int READ_MS = 7_500;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.configure(7, Routes.plain("r-book", "/book/", "non_idempotent", TIMEOUT, "depot"),
            Routes.service("depot"), null);
        AtomicInteger ran = new AtomicInteger();
        for (int each = 0; each < 3; each++) {
            lab.register(new Worker("i-" + each, call -> {
                Lab.sleep(85);
                call.answer(200, "x".repeat(ANSWER));
                ran.incrementAndGet();
                lab.record("the worker has written its answer to " + call.id());
            }), "depot", 6);
        }
        Lab.Gateway gateway = lab.startGateway("front-derby-a-1");
        if (!lab.awaitReady(gateway)) lab.end(Lab.NOT_RUN, "the process was not ready within 30 s");
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        Thread[] callers = new Thread[CALLERS];
        for (int each = 0; each < CALLERS; each++) {
            String id = "book-" + each;
            callers[each] = Lab.start(() -> (read(lab, gateway, id) ? whole : cut).incrementAndGet());
            Lab.sleep(200);
        }
        Lab.sleep(500);
        if (lab.hasTrouble) {
            long from = Lab.now();
            gateway.signal("TERM");
            lab.record("SIGTERM");
            Lab.start(() -> {
                gateway.process.waitFor();
                lab.record("the process has ended by itself " + (Lab.now() - from) + " ms after SIGTERM, of "
                    + GRACE_MS + " ms");
            });
        }
        for (Thread caller : callers) caller.join(TIMEOUT);
        if (ran.get() < CALLERS) lab.end(Lab.NOT_RUN, "only " + ran + " requests ran to their end");
        lab.end(cut.get() > 0 ? Lab.BROKEN : Lab.HELD, "of " + CALLERS + " requests that workers had run to a good end "
            + whole + " were answered whole, and the connections of " + cut + " ended within their answers");
    }

    private static boolean read(Lab lab, Lab.Gateway gateway, String id) throws Exception {
        long from = Lab.now();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.setSoTimeout(TIMEOUT);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.callers));
            socket.getOutputStream().write(("POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + TIMEOUT + "\r\nContent-Length: 4\r\n\r\nbody")
                .getBytes(StandardCharsets.ISO_8859_1));
            SlowInput in = new SlowInput(socket.getInputStream(), ANSWER, READ_MS);
            String how;
            boolean isWhole = false;
            try {
                isWhole = new Http(in).answer() == 200;
                how = isWhole ? "has its whole answer" : "was refused";
            } catch (IOException failure) {
                how = "has " + in.bytes() + " bytes of its answer: " + failure.getMessage();
            }
            lab.record(id + " " + how + " after " + (Lab.now() - from) + " ms");
            return isWhole;
        }
    }
}
