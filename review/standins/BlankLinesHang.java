import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight model workers answers two requests, ten seconds apart, with bytes that are no answer and come without end,
 * until its caller closes: blank lines where the events of the stream belong. Orders at the same machine, which go to the
 * sound workers of another service, are judged.
 */
final class BlankLinesHang extends Unanswered {
    private static final int WORKERS = 8;
    private static final int STREAMS_PER_SECOND = 25;
    /** A quarter of the 12.7 orders and 5.6 look-ups a second that the sheet names for four machines. */
    private static final int MILLISECONDS_PER_ORDER = 218;
    private static final int[] TROUBLE_AFTER_SECONDS = {8, 18};
    private static final int RUN_SECONDS = 30;
    /** Clients abandon a stream after such a gap: the longest of two seconds, 4 x 800 ms and 8 x 300 ms. */
    private static final int GAP_MS = 3_200;

    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger completeStreams = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private volatile boolean isTroubleDue;

    private BlankLinesHang() {
        super("/bale/order", 2_000, 1_000);
    }

    public static void main(String[] arguments) {
        new BlankLinesHang().play(arguments);
    }

    @Override
    int run() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.store.put("op", "config", Fleet.configuration(1));
            for (int i = 0; i < 3; i++) {
                new Worker(fleet.store, fleet.host, "i-" + i, "varasto", "espoo-a", 6, this::serveOrder).register("ready");
            }
            for (int i = 0; i < WORKERS; i++) {
                boolean isFaulty = i == 0;
                new Worker(fleet.store, fleet.host, "m-" + i, "neuvoja", "espoo-a", 64,
                    (socket, request) -> serveStream(socket, request, isFaulty)).register("ready");
            }
            fleet.start();
            Gateway gateway = fleet.gateways.get(0);
            long start = System.nanoTime();
            long end = start + RUN_SECONDS * 1_000_000_000L;
            List<Thread> orders = new ArrayList<>();
            Threads.start("orders", () -> {
                for (int i = 0; System.nanoTime() < end; i++) {
                    int number = i;
                    orders.add(Threads.start("order-" + i, () -> orderOnce(gateway, "c" + number)));
                    Thread.sleep(MILLISECONDS_PER_ORDER);
                }
            });
            while (System.nanoTime() < end) {
                int number = streams.incrementAndGet();
                Threads.start("stream-" + number, () -> stream(gateway, number));
                long seconds = (System.nanoTime() - start) / 1_000_000_000L;
                int due = spoiled.get();
                if (HAS_TROUBLE && due < TROUBLE_AFTER_SECONDS.length && seconds >= TROUBLE_AFTER_SECONDS[due]) {
                    isTroubleDue = true;
                }
                Thread.sleep(1_000 / STREAMS_PER_SECOND);
            }
            Thread.sleep(1_000);
            for (Thread order : orders) order.join();
            record.result("streams " + streams + ", complete " + completeStreams + ", spoiled answers of workers " + spoiled);
            return judge(gateway);
        }
    }

    private boolean serveOrder(Socket socket, Wire.Message request) throws Exception {
        Thread.sleep(86);
        record.line("worker: ran " + request.header("X-Request-Id"));
        socket.getOutputStream().write(Answers.whole("200 OK", request, "released"));
        return true;
    }

    private boolean serveStream(Socket socket, Wire.Message request, boolean isFaulty) throws Exception {
        OutputStream out = socket.getOutputStream();
        Thread.sleep(50);
        if (isFaulty && takeTrouble()) return spoil(out, request);
        out.write(Wire.bytes(Answers.head("200 OK", request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int i = 1; i <= 13; i++) {
            String event = "id: " + i + "\ndata: beater 3, gap 40 um\n\n";
            out.write(Wire.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            Thread.sleep(20);
        }
        out.write(Wire.bytes("0\r\n\r\n"));
        return true;
    }

    private synchronized boolean takeTrouble() {
        if (!isTroubleDue) return false;
        isTroubleDue = false;
        spoiled.incrementAndGet();
        return true;
    }

    /** Sends blank lines until the caller closes; the answer has neither a length nor chunks. */
    private boolean spoil(OutputStream out, Wire.Message request) {
        String id = request.header("X-Request-Id");
        byte[] lines = new byte[16_384];
        Arrays.fill(lines, (byte) '\n');
        long bytes = 0;
        record.line("worker: blank lines without end for " + id);
        try {
            out.write(Wire.bytes(Answers.head("200 OK", request) + "Content-Type: text/event-stream\r\n\r\n"));
            while (true) {
                out.write(lines);
                bytes += lines.length;
            }
        } catch (IOException closed) {
            record.line("worker: the caller closed " + id + " after " + bytes + " bytes");
        }
        return false;
    }

    /** Asks for a stream and reads its events; gives up after a gap. */
    private void stream(Gateway gateway, int number) throws Exception {
        String id = "s" + number;
        long lastEventAt = record.now();
        try (Client client = new Client(gateway)) {
            client.socket.setSoTimeout(GAP_MS);
            client.send("POST", "/audit/batch", id, 6_000, "X-Model: m\r\nX-Token-Counts: 700,52\r\nX-Prompt-Prefix: aa:200,b"
                + number % 50 + ":300,c" + number + ":200\r\n", Wire.bytes("x".repeat(1_400)));
            InputStream in = client.socket.getInputStream();
            Wire.Message head = Wire.head(in);
            if (head == null || head.status() != 200) {
                record.line("client: " + id + " " + (head == null ? "closed" : head.firstLine));
                return;
            }
            while (true) {
                String next = Wire.line(in);
                if (next == null) throw new IOException("closed");
                if (next.startsWith("id:")) lastEventAt = record.now();
                if (next.equals("0")) break;
                if (record.now() - lastEventAt > GAP_MS) throw new SocketTimeoutException("no event");
            }
            completeStreams.incrementAndGet();
        } catch (IOException ended) {
            record.line("client: " + id + " gave up or was cut: " + ended.getMessage());
        }
    }
}
