import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker that reads requests from each connection one after another and leaves each answer to its {@code work}. */
final class Worker implements AutoCloseable {
    /** One request at the worker. */
    static final class Call {
        final Worker worker;
        final Http.Head head;
        final byte[] body;
        final Socket socket;
        final OutputStream out;

        Call(Worker worker, Http.Head head, byte[] body, Socket socket) throws IOException {
            this.worker = worker;
            this.head = head;
            this.body = body;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        String id() {
            return head.header("X-Request-Id");
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Answers with a body of a stated length and the worker's signature. */
        void answer(int status, String body) throws IOException {
            write("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + id() + "\r\nX-Response-Seal: s-" + id()
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** What a worker does with a request. */
    interface Work {
        void run(Call call) throws Exception;
    }

    final String id;
    private final ServerSocket server;
    private final Work work;

    Worker(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        this.server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Lab.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Lab.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            Http in = new Http(socket.getInputStream());
            for (Http.Head head = in.head(); head != null; head = in.head()) {
                byte[] body = in.body(head);
                Call call = new Call(this, head, body, socket);
                String expected = head.header("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    call.write("HTTP/1.1 421 X\r\nX-Request-Id: " + call.id()
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    work.run(call);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
