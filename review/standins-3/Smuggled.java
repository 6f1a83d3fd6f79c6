import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;

/**
 * Clients send requests whose body holds the text of another request. With the trouble the head also names a transfer
 * coding, so that the body has two ends: the one that Content-Length states, and an earlier one.
 */
final class Smuggled {
    private static final int TIMEOUT = 2_000;
    private static final String[] CODINGS = {
        "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    };

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.configure(7, Routes.plain("r-book", "/book/", "non_idempotent", TIMEOUT, "depot"),
            Routes.service("depot"), null);
        Set<String> ran = new ConcurrentSkipListSet<>();
        for (int each = 0; each < 3; each++) {
            lab.register(new Worker("i-" + each, call -> {
                ran.add(call.id());
                lab.record("a worker runs " + call.head.line + " with id " + call.id() + " and " + call.body.length
                    + " bytes");
                call.answer(200, "x".repeat(800));
            }), "depot", 6);
        }
        Lab.Gateway gateway = lab.startGateway("front-derby-a-1");
        if (!lab.awaitReady(gateway)) lab.end(Lab.NOT_RUN, "the process was not ready within 30 s");
        Set<String> sent = new ConcurrentSkipListSet<>();
        for (int each = 0; each < 2 * CODINGS.length; each++) {
            String id = "sent-" + each;
            sent.add(id);
            send(lab, gateway, id, lab.hasTrouble ? CODINGS[each / 2] : "");
        }
        Lab.sleep(500);
        long unsent = ran.stream().filter(id -> !sent.contains(id)).count();
        if (!lab.hasTrouble && ran.size() < sent.size()) lab.end(Lab.NOT_RUN, "a sound request was not served");
        lab.end(unsent > 0 ? Lab.BROKEN : Lab.HELD, "of " + sent.size() + " requests " + (ran.size() - unsent)
            + " ran; " + unsent + " ran whose ids no client sent: they stood in the bodies");
    }

    private static void send(Lab lab, Lab.Gateway gateway, String id, String codings) throws IOException {
        String inner = "POST /book/2 HTTP/1.1\r\nHost: depot.example\r\nX-Request-Id: inside-" + id
            + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        String body = "0\r\n\r\n" + inner;
        String head = "POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2000\r\n" + codings + "Content-Length: " + body.length() + "\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callers)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            Http in = new Http(socket.getInputStream());
            String how = "";
            try {
                for (int answers = 0; answers < 2; answers++) how += " " + in.answer();
            } catch (IOException end) {
                how += " then " + end.getMessage();
            }
            lab.record(id + " with [" + codings.trim().replace("\r\n", ", ") + "] and Content-Length "
                + body.length() + ": answered" + how);
        }
    }
}
