import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Many users come at once, each with one request on a connection of its own. Small requests on kept connections go on
 * meanwhile.
 */
final class ManyUsers {
    private static final int TIMEOUT = 2_000;
    private static final int DEADLINE = 6_000;
    private static final int CLIENTS = 18;
    private static final int PAUSE_MS = 400;

    /** The users of the burst, and those that come after it at the usual rate. */
    private static final int BURST_USERS = 775;
    private static final int BURST_MS = 5_000;
    private static final int LATER_USERS = 231;
    private static final int LATER_MS = 3_000;
    private static final int BODY = 110_000;

    /** Four fifths of idle-timeout-ms: for how long each user leaves its connection open and idle after the answer. */
    private static final int KEPT_MS = 12_000;
    private static final int MOST_LOST = 3;

    private final Lab lab;
    private final Lab.Gateway gateway;
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final Map<String, String> ends = new ConcurrentHashMap<>();
    private volatile boolean isOver;

    private ManyUsers(Lab lab, Lab.Gateway gateway) {
        this.lab = lab;
        this.gateway = gateway;
    }

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.configure(7, Routes.plain("r-book", "/book/", "non_idempotent", TIMEOUT, "depot") + ","
            + Routes.route("r-brief", "/brief/", "streaming", 5_000, 600, "lm", 2, false),
            Routes.service("depot") + "," + Routes.service("lm"), null);
        Lab.Gateway gateway = lab.startGateway("front-derby-a-1");
        ManyUsers run = new ManyUsers(lab, gateway);
        for (int each = 0; each < 3; each++) lab.register(new Worker("i-" + each, run::work), "depot", 6);
        for (int each = 0; each < 6; each++) {
            lab.register(new Worker("lm-" + each, call -> Streams.write(call, 13, 8, 1)), "lm", 64);
        }
        if (!lab.awaitReady(gateway)) lab.end(Lab.NOT_RUN, "the process was not ready within 30 s");
        run.run();
    }

    private void work(Worker.Call call) throws Exception {
        passedOn.add(call.id());
        Lab.sleep(85);
        call.answer(200, "x".repeat(800));
    }

    private void run() throws Exception {
        Thread[] clients = new Thread[CLIENTS];
        for (int each = 0; each < CLIENTS; each++) {
            int number = each;
            clients[each] = Lab.start(() -> keepAsking("kept-" + number));
        }
        Lab.sleep(5_000);
        Random random = new Random(11);
        for (int each = lab.hasTrouble ? 0 : BURST_USERS; each < BURST_USERS + LATER_USERS; each++) {
            int number = each;
            long start = each < BURST_USERS ? random.nextInt(BURST_MS) : BURST_MS + random.nextInt(LATER_MS);
            Lab.start(() -> {
                Lab.sleep(start);
                comeOnce("user-" + number);
            });
        }
        Lab.sleep(BURST_MS + LATER_MS + KEPT_MS);
        isOver = true;
        for (Thread each : clients) each.join(2 * DEADLINE);
        judge();
    }

    private void judge() throws Exception {
        long answered = ends.values().stream().filter(end -> end.startsWith("answered")).count();
        long lost = ends.entrySet().stream()
            .filter(end -> end.getValue().equals("closed") && passedOn.contains(end.getKey()))
            .count();
        long open = ends.values().stream().filter(end -> end.startsWith("open")).count();
        long late = ends.values().stream().filter(end -> end.equals("open 0.5 s after the timeout")).count();
        boolean isLost = lost > MOST_LOST;
        boolean isLate = late >= 8 && 2 * late > open && 4 * late > ends.size() - answered;
        lab.record("the process is " + (gateway.process.isAlive() ? "alive" : "gone: it ended by itself with code "
            + gateway.process.exitValue()) + " and " + (gateway.isReady() ? "ready" : "not ready"));
        lab.end(isLost || isLate ? Lab.BROKEN : Lab.HELD, "of " + ends.size() + " small requests " + answered
            + " were answered; " + lost + " were passed on to a worker and lost with their connections (at most "
            + MOST_LOST + " may be); " + open + " were open at the route's timeout, " + late + " 0.5 s later");
    }

    /** Sends small requests one after another on a kept connection until the case or the connection ends. */
    private void keepAsking(String name) throws Exception {
        try (Socket socket = connect()) {
            Http in = new Http(socket.getInputStream());
            for (int next = 0; !isOver; next++) {
                String id = name + "-" + next;
                ends.put(id, ask(socket, in, id));
                lab.record(id + (passedOn.contains(id) ? ", which a worker has run, " : ", which has not run, ")
                    + ends.get(id));
                if (!ends.get(id).startsWith("answered")) return;
                Lab.sleep(PAUSE_MS);
            }
        }
    }

    /** Sends one request, once more after a refusal, and leaves the connection idle. */
    private void comeOnce(String name) throws Exception {
        for (int attempt = 0; attempt < 2; attempt++) {
            String id = name + "-" + attempt;
            long from = Lab.now();
            String end = "closed";
            try (Socket socket = new Socket()) {
                socket.setSoTimeout(DEADLINE);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.callers));
                send(socket, "/brief/1", id, BODY);
                end = "answered " + new Http(socket.getInputStream()).answer();
                lab.record(id + " " + end + " after " + (Lab.now() - from) + " ms");
                if (!end.equals("answered 503")) {
                    Lab.sleep(KEPT_MS);
                    return;
                }
            } catch (IOException failure) {
                lab.record(id + " " + failure + " after " + (Lab.now() - from) + " ms");
                return;
            }
            Lab.sleep(1_000);
        }
    }

    private static void send(Socket socket, String path, String id, int size) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(("POST " + path + " HTTP/1.1\r\nHost: depot.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
            + DEADLINE + "\r\nContent-Length: " + size + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[size]);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callers);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private String ask(Socket socket, Http in, String id) throws Exception {
        long from = Lab.now();
        try {
            socket.setSoTimeout(TIMEOUT + 500);
            send(socket, "/book/1", id, 600);
            int status = in.answer();
            return Lab.now() - from > TIMEOUT ? "open at the timeout" : "answered " + status;
        } catch (SocketTimeoutException silence) {
            return "open 0.5 s after the timeout";
        } catch (IOException failure) {
            return "closed";
        }
    }
}
