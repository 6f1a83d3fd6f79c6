import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection to a gateway. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();

    Client(Gateway gateway) throws IOException {
        socket.connect(new InetSocketAddress(gateway.host, gateway.frontPort), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
    }

    void send(String method, String path, String id, long deadlineMs, String moreHeaders, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + moreHeaders
            + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        socket.getOutputStream().write(Wire.bytes(head));
        if (body != null) socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    Wire.Message receive() throws IOException {
        return Wire.message(socket.getInputStream(), true);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
