import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: rows with versions, reads of whole tables and of changes, and writes. */
final class Store {
    /** How calls are answered. */
    enum Mode { SERVE, REFUSE, SILENT }

    private static final class Row {
        final String table;
        final String key;
        final byte[] value;
        final long version;

        Row(String table, String key, byte[] value, long version) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.version = version;
        }
    }

    private static final Pattern WRITE =
        Pattern.compile("\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"\\}");

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final ServerSocket server;
    private final long startNanos = System.nanoTime();
    private long version = 1;
    private long era;
    volatile Mode mode = Mode.SERVE;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes a row as the operator or a server; null removes it. */
    synchronized void put(String table, String key, String value) {
        version++;
        byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
        rows.put(table + "/" + key, new Row(table, key, bytes, version));
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                Wire.Message call = Wire.message(socket.getInputStream(), false);
                if (call == null) return;
                if (mode == Mode.SILENT) {
                    Thread.sleep(20_000);
                    return;
                }
                Thread.sleep(4);
                answer(socket.getOutputStream(), call);
            }
        }
    }

    private void answer(OutputStream out, Wire.Message call) throws IOException {
        String path = call.path();
        if (mode == Mode.REFUSE) {
            write(out, "503 Service Unavailable", "{}");
        } else if (path.startsWith("/rows-get")) {
            write(out, "200 OK", read(parameter(path, "table"), -1));
        } else if (path.startsWith("/rows-feed")) {
            write(out, "200 OK", read(parameter(path, "table"), Long.parseLong(parameter(path, "after"))));
        } else if (path.startsWith("/rows-tx")) {
            write(out, "200 OK", transact(call.text()));
        } else {
            write(out, "404 Not Found", "{}");
        }
    }

    private synchronized String read(String table, long after) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        String separator = "";
        for (Row row : rows.values()) {
            if (!row.table.equals(table) || row.version <= after || (after < 0 && row.value == null)) continue;
            text.append(separator).append("{\"table\":\"").append(row.table).append("\",\"part\":\"\",\"key\":\"")
                .append(row.key).append("\",\"ver\":").append(row.version);
            if (row.value == null) text.append(",\"deleted\":true}");
            else text.append(",\"value\":\"").append(Base64.getEncoder().encodeToString(row.value)).append("\"}");
            separator = ",";
        }
        return text.append("],\"has-more\":false,").append(versionFields()).append("}").toString();
    }

    private synchronized String transact(String body) {
        version++;
        Matcher write = WRITE.matcher(body);
        while (write.find()) {
            Row row = new Row(write.group(1), write.group(3), Base64.getDecoder().decode(write.group(4)), version);
            rows.put(row.table + "/" + row.key, row);
        }
        return "{" + versionFields() + "}";
    }

    private String versionFields() {
        return "\"ver\":" + version + ",\"now-ms\":" + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void write(OutputStream out, String status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(Wire.bytes("HTTP/1.1 " + status + "\r\nStore-Era: " + era + "\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + bytes.length + "\r\n\r\n"));
        out.write(bytes);
        out.flush();
    }

    private static String parameter(String path, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(path);
        return matcher.find() ? URLDecoder.decode(matcher.group(1), StandardCharsets.UTF_8) : "";
    }
}
