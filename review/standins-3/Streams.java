import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Model calls: engines that write events with increasing ids, and callers that read them. */
final class Streams {
    private Streams() {
    }

    /** Writes events from the one after Last-Event-Id on. */
    static void write(Worker.Call call, int events, int pauseMs, int weights) throws Exception {
        String last = call.head.header("Last-Event-Id");
        call.write("HTTP/1.1 200 X\r\nX-Request-Id: " + call.id() + "\r\nX-Response-Seal: s-" + call.worker.id
            + "\r\nX-Weight-Versions: " + weights + "\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Lab.sleep(pauseMs);
            String text = "id: " + event + "\ndata: " + call.worker.id + "\n\n";
            call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        call.write("0\r\n\r\n");
    }

    /** What a caller has of a stream, over all its requests. */
    static final class Read {
        /** The worker that wrote each event. */
        final List<String> writers = new ArrayList<>();
        String first;
        int status;
        boolean isComplete;
        String how = "";

        int last() {
            return writers.size();
        }
    }

    /** Sends one request, which goes on after what {@code read} has, and reads until its answer ends. */
    static void ask(Lab.Gateway gateway, String id, int deadlineMs, String extraHeaders, Read read) {
        String session = Integer.toHexString(id.hashCode());
        String prompt = "X-Token-Counts: 715,280\r\nX-Prompt-Prefix: a" + session + ":172,b" + session + ":543\r\n";
        ask(gateway, id, prompt, deadlineMs, extraHeaders, read);
    }

    static void ask(
        Lab.Gateway gateway, String id, String prompt, int deadlineMs, String extraHeaders, Read read
    ) {
        read.status = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callers)) {
            socket.setSoTimeout(deadlineMs);
            OutputStream out = socket.getOutputStream();
            String resumed = read.last() == 0
                ? "" : "Last-Event-Id: " + read.last() + "\r\nResumes: " + read.first + "\r\n";
            out.write(("POST /chat/2 HTTP/1.1\r\nHost: depot.example\r\nX-Request-Id: " + id + "\r\n" + resumed
                + "X-Model: m\r\n" + prompt + "X-Deadline-Ms: " + deadlineMs + "\r\n" + extraHeaders + "Content-Length: 4\r\n\r\nbody")
                .getBytes(StandardCharsets.ISO_8859_1));
            Http in = new Http(socket.getInputStream());
            Http.Head head = in.head();
            if (head == null) throw new IOException("closed");
            read.status = head.status();
            read.how = "answered " + head.status();
            if (head.status() != 200) {
                in.body(head);
                return;
            }
            String text = "";
            for (byte[] part = in.chunk(); part != null; part = in.chunk()) {
                text += new String(part, StandardCharsets.ISO_8859_1);
                for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    if (read.last() == 0) read.first = id;
                    read.writers.add(text.substring(text.indexOf("data: ") + 6, end));
                    text = text.substring(end + 2);
                }
            }
            read.isComplete = true;
        } catch (IOException failure) {
            read.how += " " + failure.getMessage();
        }
    }
}
