import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three plain workers adds bytes after 3 in 100 of its complete answers: the begin of a second answer, broken off.
 * They arrive late, where the next answer of the connection is expected.
 */
abstract class ExtraBytes extends Case {
    private static final int CLIENTS = 8;
    private static final int RUN_SECONDS = 80;
    /** Between an answer and the client's next request: about 20 requests a second together. */
    private static final int PAUSE_MILLISECONDS = 300;
    /** One extra in so many answers of the faulty worker: x = 0.03. */
    private static final int ANSWERS_PER_EXTRA = 34;

    final Map<String, Integer> statusRunWith = new ConcurrentHashMap<>();
    final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final Set<Socket> marked = ConcurrentHashMap.newKeySet();

    /** Returns the bytes that the faulty worker adds. */
    abstract String extra();

    /** Returns whether the worker fails the answer [number] of those that extra bytes precede, or of the others. */
    abstract boolean fails(int number);

    /** Returns the method of the requests. */
    abstract String method();

    /** Returns the path of the requests. */
    abstract String path();

    /** Judges the answer that a client has got to the request [id]. */
    abstract void judge(String id, Wire.Message answer);

    void serveLoad() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.store.put("op", "config", Fleet.configuration(1));
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                boolean isFaulty = i == 0 && HAS_TROUBLE;
                workers.add(new Worker(fleet.store, fleet.host, "i-" + i, "varasto", "espoo-a", 6,
                    (socket, request) -> serve(socket, request, isFaulty)));
            }
            for (Worker worker : workers) worker.register("ready");
            fleet.start();
            long end = System.nanoTime() + RUN_SECONDS * 1_000_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                clients.add(Threads.start("client-" + i, () -> call(client, fleet.gateways.get(client % 2), end)));
            }
            for (Thread client : clients) client.join();
        }
    }

    private boolean serve(Socket socket, Wire.Message request, boolean isFaulty) throws Exception {
        OutputStream out = socket.getOutputStream();
        String id = request.header("X-Request-Id");
        boolean isPreceded = marked.remove(socket);
        if (isPreceded) {
            record.line("worker: extra bytes before the answer to " + id);
            extras.incrementAndGet();
            out.write(Wire.bytes(extra()));
            out.flush();
        }
        int number = isFaulty ? answers.incrementAndGet() : 0;
        Thread.sleep(86);
        boolean hasFailed = fails(isPreceded ? extras.get() : others.incrementAndGet());
        statusRunWith.put(id, hasFailed ? 500 : 200);
        record.line("worker: ran " + id + " with " + statusRunWith.get(id));
        out.write(Answers.whole(hasFailed ? "500 Internal Server Error" : "200 OK", request,
            hasFailed ? "failed " + id : "done " + id));
        out.flush();
        if (isFaulty && number % ANSWERS_PER_EXTRA == 0) marked.add(socket);
        return true;
    }

    /** Asks again and again on kept connections; each request is one attempt. */
    private void call(int client, Gateway gateway, long endNanos) throws Exception {
        Client connection = null;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String id = "c" + client + "-" + i;
            try {
                if (connection == null) connection = new Client(gateway);
                connection.send(method(), path(), id, 2_000, "", method().equals("GET") ? null : Wire.bytes("one order"));
                Wire.Message answer = connection.receive();
                if (answer == null) throw new IOException("closed");
                record.line("client: " + id + " " + answer.firstLine + " " + answer.text().trim());
                judge(id, answer);
                Thread.sleep(PAUSE_MILLISECONDS);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) throw new IOException("closes");
            } catch (IOException ended) {
                if (connection != null) connection.close();
                connection = null;
            }
        }
    }
}
