import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's metadata store, as far as the system calls it. */
final class Store implements AutoCloseable {
    private static final class Row {
        final String value;
        final long ver;

        Row(String value, long ver) {
            this.value = value;
            this.ver = ver;
        }
    }

    private Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long ver = 1;
    private long era;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean isDown;
    private final Map<String, Object[]> copies = new HashMap<>();

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.daemon("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Resets all calls from now on, or serves them again. */
    void setDown(boolean down) {
        isDown = down;
        if (down) open.forEach(Threads::close);
    }

    synchronized void put(String table, String key, String value) {
        write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized void remove(String table, String key) {
        write(table, key, null);
    }

    /** Keeps a copy of all rows under {@code name}. */
    synchronized void copy(String name) {
        copies.put(name, new Object[] {deepCopy(tables), ver});
    }

    /** Comes back from the copy {@code name}: what was written since is lost, and the era rises by one. */
    @SuppressWarnings("unchecked")
    synchronized void restore(String name) {
        tables = deepCopy((Map<String, TreeMap<String, Row>>) copies.get(name)[0]);
        ver = (Long) copies.get(name)[1];
        era++;
    }

    private static Map<String, TreeMap<String, Row>> deepCopy(Map<String, TreeMap<String, Row>> from) {
        Map<String, TreeMap<String, Row>> copy = new HashMap<>();
        from.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
        return copy;
    }

    private void write(String table, String key, String value) {
        ver++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(value, ver));
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Threads.daemon("store-call", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            if (isDown) {
                socket.setSoLinger(true, 0);
                return;
            }
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                byte[] body = Http.readBody(in, head, false);
                if (isDown) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                Thread.sleep(4);
                String[] answer = answer(head, new String(body, StandardCharsets.UTF_8));
                byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
                Http.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nStore-Era: " + era
                        + "\r\nContent-Length: " + bytes.length + "\r\n\r\n",
                    bytes);
            }
        } catch (IOException | InterruptedException ended) {
            // The caller closed the connection, or the store is down.
        } finally {
            open.remove(socket);
        }
    }

    private synchronized String[] answer(Http.Head head, String body) {
        String[] first = head.first.split(" ");
        String path = first[1].split("\\?")[0];
        Map<String, String> query = query(first[1]);
        switch (path) {
            case "/rows-tx":
                return transact(Json.object(Json.parse(body)));
            case "/rows-get":
                return new String[] {"200", rows(query.get("table"), -1, query.getOrDefault("from", ""))};
            case "/rows-feed":
                long after = Long.parseLong(query.get("after"));
                if (after > ver) return new String[] {"410", "{}"};
                return new String[] {"200", rows(query.get("table"), after, "")};
            default:
                return new String[] {"404", "{}"};
        }
    }

    private String rows(String table, long after, String from) {
        List<String> rows = new ArrayList<>();
        TreeMap<String, Row> known = tables.getOrDefault(table, new TreeMap<>());
        known.entrySet().stream()
            .filter(entry -> entry.getKey().compareTo(from) >= 0 && entry.getValue().ver > after)
            .filter(entry -> after >= 0 || entry.getValue().value != null)
            .sorted(after < 0 ? Map.Entry.comparingByKey() : Comparator.comparing(entry -> entry.getValue().ver))
            .forEach(entry -> {
                Row row = entry.getValue();
                String value = row.value == null ? "\"deleted\":true" : "\"value\":\"" + row.value + "\"";
                rows.add("{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + entry.getKey() + "\"," + value
                    + ",\"ver\":" + row.ver + "}");
            });
        return "{\"rows\":[" + String.join(",", rows) + "],\"has-more\":false,\"ver\":" + ver + ",\"now-ms\":"
            + Record.now() + "}";
    }

    private String[] transact(Map<String, Object> call) {
        for (Object entry : Json.list(call.get("if-rev"))) {
            Map<String, Object> row = Json.object(entry);
            Row known = tables.getOrDefault(row.get("table"), new TreeMap<>()).get(row.get("key"));
            long have = known == null || known.value == null ? 0 : known.ver;
            if (have != ((Double) row.get("ver")).longValue()) return new String[] {"412", "{\"ver\":" + ver + "}"};
        }
        for (Object entry : Json.list(call.get("writes"))) {
            Map<String, Object> row = Json.object(entry);
            write((String) row.get("table"), (String) row.get("key"), (String) row.get("value"));
        }
        for (Object entry : Json.list(call.get("remove"))) {
            Map<String, Object> row = Json.object(entry);
            write((String) row.get("table"), (String) row.get("key"), null);
        }
        return new String[] {"200", "{\"ver\":" + ver + ",\"now-ms\":" + Record.now() + "}"};
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark < 0) return query;
        for (String pair : uri.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(Threads::close);
    }
}
