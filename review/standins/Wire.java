import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes messages of HTTP/1.1 on plain sockets. */
final class Wire {
    private Wire() {}

    /** A request or a response. */
    static final class Message {
        String firstLine;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the body had neither a length nor chunks and ended with its connection. */
        boolean endsWithConnection;

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null at the end of the stream. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = line(in);
        if (message.firstLine == null) return null;
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a whole message; null at the end of the stream. A response without framing is read to its end. */
    static Message message(InputStream in, boolean isResponse) throws IOException {
        Message message = head(in);
        if (message == null) return null;
        String length = message.header("Content-Length");
        String coding = message.header("Transfer-Encoding");
        if (coding != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the connection ended within a body");
                int count = Integer.parseInt(size.trim(), 16);
                body.write(exactly(in, count));
                line(in);
                if (count == 0) break;
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (isResponse) {
            message.body = in.readAllBytes();
            message.endsWithConnection = true;
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the connection ended within a body");
        return bytes;
    }
}
