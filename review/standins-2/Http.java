import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** The first line and the header lines of a message. */
    static final class Head {
        String first = "";
        final List<String[]> headers = new ArrayList<>();

        String get(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        boolean closes() {
            String connection = get("Connection");
            return connection != null && connection.toLowerCase().contains("close");
        }
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        String line = readLine(in, true);
        if (line == null) return null;
        head.first = line;
        while (!(line = readLine(in, false)).isEmpty()) {
            int colon = line.indexOf(':');
            head.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        return head;
    }

    /** Reads the body that follows {@code head}; one without a length ends with the connection only in an answer. */
    static byte[] readBody(InputStream in, Head head, boolean isAnswer) throws IOException {
        String coding = head.get("Transfer-Encoding");
        if (coding != null && coding.toLowerCase().contains("chunked")) return readChunks(in);
        String length = head.get("Content-Length");
        if (length != null) return readExactly(in, Integer.parseInt(length));
        return isAnswer ? in.readAllBytes() : new byte[0];
    }

    /** Reads one chunk; returns null at the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        byte[] bytes = readExactly(in, size);
        readLine(in, false);
        return size == 0 ? null : bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] chunk;
        while ((chunk = readChunk(in)) != null) body.write(chunk);
        return body.toByteArray();
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("message was cut off");
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (mayEnd && line.size() == 0) return null;
                throw new EOFException("message was cut off");
            }
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes {@code head} and {@code body} in one write. */
    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }
}
