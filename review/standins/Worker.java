import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A worker: serves requests on its connections, one at a time on each, and registers itself in the store. */
final class Worker {
    /** Serves one request; returns whether the connection stays open. */
    interface Service {
        boolean serve(Socket socket, Wire.Message request) throws Exception;
    }

    final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long born = System.currentTimeMillis();
    private final Store store;
    private final Service work;
    private final ServerSocket server;

    Worker(Store store, String host, String id, String service, String zone, int slots, Service work) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Threads.start(id, this::accept);
    }

    /** Writes the worker's entry with [state]. */
    void register(String state) {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\""
            + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" + born + "}");
    }

    /** Removes the worker's entry. */
    void unregister() {
        store.put("servers", id, null);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(id + "-connection", () -> {
                try (socket) {
                    socket.setTcpNoDelay(true);
                    while (true) {
                        Wire.Message request = Wire.message(socket.getInputStream(), false);
                        if (request == null || !serve(socket, request)) return;
                    }
                }
            });
        }
    }

    private boolean serve(Socket socket, Wire.Message request) throws Exception {
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            socket.getOutputStream().write(Wire.bytes("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                + request.header("X-Request-Id") + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        return work.serve(socket, request);
    }
}
