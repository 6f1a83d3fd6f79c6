import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/** A caller that takes one stream up again, at the next process, until it is complete or its time is over. */
final class StreamCaller {
    private static final AtomicInteger NEXT = new AtomicInteger();
    final TreeSet<String> versions = new TreeSet<>();
    final List<String> tries = new ArrayList<>();
    volatile String firstVersion;
    volatile boolean isBroken;
    volatile boolean isComplete;
    volatile int takenUp;
    int lastEvent;
    private String firstId;
    private final Record record;
    private final String name = "c" + NEXT.incrementAndGet();

    private final String path;

    StreamCaller(String path, Record record) {
        this.path = path;
        this.record = record;
    }

    /** Sends the request to the first of {@code ports}, and each further try to the next one. */
    void run(int tryCount, long deadline, int... ports) {
        long end = Record.now() + deadline;
        for (int attempt = 0; attempt < tryCount && !isComplete && Record.now() < end; attempt++) {
            String id = name + "-" + attempt;
            tries.add(id);
            try (Caller caller = new Caller(ports[Math.min(attempt, ports.length - 1)], record)) {
                double wait = attempt(caller, id, end - Record.now());
                if (wait > 0) Threads.sleep(Math.min((long) (wait * 1000), (end - Record.now()) / 3));
            }
        }
    }

    /** Returns for how many seconds the answer asks the caller to wait. */
    private double attempt(Caller caller, String id, long remaining) {
        try {
            caller.connect();
            caller.socket().setSoTimeout((int) Math.min(remaining, 3_000));
            String more = "X-Key: k1\r\nX-Model: m\r\nX-Token-Counts: 700,240\r\nX-Prompt-Prefix: aa:200,b" + name.substring(1) + "0:500\r\n";
            if (firstId != null) more += "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n";
            record.add("sent " + id + (firstId == null ? "" : " resumes " + firstId + " after event " + lastEvent));
            Http.write(caller.socket().getOutputStream(), Caller.head("POST", path, id, remaining, more, name.length()) + name);
            Http.Head head = Http.readHead(caller.in());
            if (head == null) throw new IOException("connection closed without an answer");
            if (head.status() != 200) {
                byte[] body = Http.readBody(caller.in(), head, true);
                record.add("answered " + id + " " + head.status() + " " + new String(body).trim());
                String wait = head.get("Retry-After");
                return wait == null ? 0.05 : Double.parseDouble(wait);
            }
            byte[] chunk;
            while ((chunk = Http.readChunk(caller.in())) != null) receive(new String(chunk), id);
            isComplete = true;
            record.add("answered " + id + " complete, versions " + versions);
            return 0;
        } catch (IOException broken) {
            isBroken = true;
            record.add("broken " + id + " after event " + lastEvent + ": " + broken);
            return 0;
        }
    }

    private void receive(String text, String id) {
        for (String block : text.split("\n\n")) {
            String version = null;
            for (String line : block.split("\n")) {
                if (line.startsWith("id: ")) lastEvent = Integer.parseInt(line.substring(4));
                if (line.startsWith("data: ")) version = line.substring(6);
            }
            if (version == null) continue;
            if (firstId == null) {
                firstId = id;
                firstVersion = version;
            }
            if (!id.equals(firstId)) takenUp++;
            if (versions.add(version)) record.add("events of " + version + " for " + id + " from event " + lastEvent);
        }
    }
}
