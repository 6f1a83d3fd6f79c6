import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {
    /** The first line and the headers of a message; names are in lower case. */
    static final class Head {
        final String line;
        final Map<String, String> headers = new TreeMap<>();

        Head(String line) {
            this.line = line;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    private final BufferedInputStream in;

    Http(InputStream in) {
        this.in = new BufferedInputStream(in, 65_536);
    }

    /** Reads a head; returns null if the connection ends before it. */
    Head head() throws IOException {
        String line = line();
        if (line == null) return null;
        Head head = new Head(line);
        for (String next = line(); next != null && !next.isEmpty(); next = line()) {
            int colon = next.indexOf(':');
            head.headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        return head;
    }

    /** Reads the whole body that {@code head} announces; throws if the connection ends before its end. */
    byte[] body(Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] part = chunk(); part != null; part = chunk()) all.write(part);
            return all.toByteArray();
        }
        String length = head.header("Content-Length");
        return length == null ? new byte[0] : exactly(Integer.parseInt(length));
    }

    /** Reads a whole answer and returns its status; throws if the connection ends before its end. */
    int answer() throws IOException {
        Head head = head();
        if (head == null) throw new EOFException("closed");
        body(head);
        return head.status();
    }

    /** Reads one chunk; returns null after the last one. */
    byte[] chunk() throws IOException {
        String size = line();
        if (size == null) throw new EOFException("body ended early");
        byte[] part = exactly(Integer.parseInt(size.trim(), 16));
        line();
        return part.length == 0 ? null : part;
    }

    private byte[] exactly(int length) throws IOException {
        byte[] read = in.readNBytes(length);
        if (read.length < length) throw new EOFException("body ended early");
        return read;
    }

    private String line() throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (read.size() == 0) return null;
                throw new EOFException("head ended early");
            }
            if (next != '\r') read.write(next);
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }
}
