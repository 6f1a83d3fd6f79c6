import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller's connection, on which it sends one request after another. */
final class Caller implements AutoCloseable {
    /** How a request ended: a status with its body, or an error. */
    static final class Answer {
        int status;
        Http.Head head;
        byte[] body;
        String error;
        long sentAt;
        long answeredAt;

        boolean isSuccess() {
            return error == null && status == 200;
        }

        @Override
        public String toString() {
            return error != null ? "no complete answer (" + error + ")"
                : status + " " + (status == 200 ? "" : new String(body, StandardCharsets.UTF_8).trim());
        }
    }

    private final int port;
    private final Record record;
    private Socket socket;
    private BufferedInputStream in;

    Caller(int port, Record record) {
        this.port = port;
        this.record = record;
    }

    void connect() throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Socket socket() {
        return socket;
    }

    BufferedInputStream in() {
        return in;
    }

    static String head(String method, String path, String id, long deadline, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: relay.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
            + deadline + "\r\n" + more + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Sends a request and reads the whole answer. */
    Answer call(String method, String path, String id, long deadline, String more, byte[] body) {
        Answer answer = new Answer();
        answer.sentAt = Record.now();
        try {
            if (socket == null) connect();
            socket.setSoTimeout((int) deadline + 2_000);
            answer.sentAt = Record.now();
            record.add("sent " + id + " " + method + " " + path + " body " + body.length);
            Http.write(socket.getOutputStream(), head(method, path, id, deadline, more, body.length), body);
            answer.head = Http.readHead(in);
            if (answer.head == null) throw new IOException("connection closed without an answer");
            answer.status = answer.head.status();
            answer.body = Http.readBody(in, answer.head, true);
            if (answer.head.closes()) close();
        } catch (IOException failed) {
            answer.error = failed.toString();
            close();
        }
        answer.answeredAt = Record.now();
        record.add("answered " + id + " " + answer + " after " + (answer.answeredAt - answer.sentAt) + " ms");
        return answer;
    }

    @Override
    public void close() {
        if (socket != null) Threads.close(socket);
        socket = null;
    }
}
