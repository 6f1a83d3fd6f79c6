import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** A sound store of the platform: rows, their changes and transactions, as PROTOCOL.md tells them. */
final class Store implements AutoCloseable {
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

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 100;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Lab::daemon));
        server.createContext("/rows-get", this::get);
        server.createContext("/rows-feed", this::feed);
        server.createContext("/rows-tx", this::transact);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a row as operators and servers do; the return is the acknowledgement. */
    synchronized void write(String table, String key, String value) {
        put(table, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), ++version);
    }

    private void put(String table, String key, byte[] value, long at) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(table, key, value, at));
    }

    private synchronized void get(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String from = query.getOrDefault("from", "");
        List<Row> rows = rowsOf(query.get("table")).stream()
            .filter(row -> row.value != null && row.key.compareTo(from) >= 0)
            .collect(Collectors.toList());
        answer(exchange, 200, rows, ",\"has-more\":false");
    }

    private synchronized void feed(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long after = Long.parseLong(query.get("after"));
        List<Row> rows = rowsOf(query.get("table")).stream()
            .filter(row -> row.version > after)
            .sorted((left, right) -> Long.compare(left.version, right.version))
            .collect(Collectors.toList());
        answer(exchange, 200, rows, "");
    }

    @SuppressWarnings("unchecked")
    private void transact(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> body = (Map<String, Object>) Json.parse(text);
        synchronized (this) {
            boolean holds = entries(body, "if-rev").stream().allMatch(entry -> {
                Row row = tables.getOrDefault(entry.get("table"), new TreeMap<>()).get(entry.get("key"));
                long known = row == null || row.value == null ? 0 : row.version;
                return known == ((Double) entry.get("ver")).longValue();
            });
            if (!holds) {
                answer(exchange, 412, new ArrayList<>(), "");
                return;
            }
            long at = ++version;
            for (Map<String, Object> entry : entries(body, "writes")) {
                byte[] value = Base64.getDecoder().decode((String) entry.get("value"));
                put((String) entry.get("table"), (String) entry.get("key"), value, at);
            }
            for (Map<String, Object> entry : entries(body, "remove")) {
                put((String) entry.get("table"), (String) entry.get("key"), null, at);
            }
            answer(exchange, 200, new ArrayList<>(), "");
        }
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> body, String name) {
        return (List<Map<String, Object>>) body.getOrDefault(name, new ArrayList<>());
    }

    private List<Row> rowsOf(String table) {
        return new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> read = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            int split = pair.indexOf('=');
            read.put(pair.substring(0, split), URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
        }
        return read;
    }

    private void answer(HttpExchange exchange, int status, List<Row> rows, String more) throws IOException {
        String list = rows.stream().map(Store::json).collect(Collectors.joining(","));
        String text = "{\"ver\":" + version + ",\"now-ms\":" + Lab.now() + ",\"rows\":[" + list + "]" + more + "}";
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static String json(Row row) {
        String value = row.value == null
            ? ",\"deleted\":true"
            : ",\"value\":\"" + Base64.getEncoder().encodeToString(row.value) + "\"";
        return "{\"table\":\"" + row.table + "\",\"part\":\"\",\"key\":\"" + row.key + "\",\"ver\":" + row.version
            + value + "}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
