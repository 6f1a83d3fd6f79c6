import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A network path that can be cut: while it is, nothing passes and nothing is answered. */
final class Proxy implements AutoCloseable {
    private final ServerSocket server;
    private final String host;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean isCut;

    Proxy(String address) throws IOException {
        host = address.substring(0, address.lastIndexOf(':'));
        port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.daemon("proxy", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setCut(boolean cut) {
        isCut = cut;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress(host, port), 1_000);
                open.add(near);
                open.add(far);
                Threads.daemon("forth", () -> pass(near, far));
                Threads.daemon("back", () -> pass(far, near));
            } catch (IOException failed) {
                if (server.isClosed()) return;
            }
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count;
            while ((count = in.read(buffer)) >= 0) {
                while (isCut && !from.isClosed()) Threads.sleep(20);
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException ended) {
            // One side closed.
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }

    @Override
    public void close() {
        Threads.close(server);
        open.forEach(Threads::close);
    }
}
