import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    private static int nextPort = 10_000 + (int) (ProcessHandle.current().pid() % 400) * 24;
    final String name;
    final int port;
    final int readyPort;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final Record record;
    private Process process;

    /** Prepares a process in {@code zone}; {@code shares} is the part of a processor that its machine would have. */
    Gateway(String name, String zone, Path root, Path directory, String store, Record record) throws IOException {
        this.name = name;
        this.root = root;
        this.record = record;
        int first = freePorts(6);
        port = first;
        readyPort = first + 1;
        settings = directory.resolve(name + ".json");
        log = directory.resolve(name + ".log");
        Files.writeString(settings, settings(zone, first, store));
    }

    private String settings(String zone, int first, String store) throws IOException {
        Map<String, String> values = Map.ofEntries(
            Map.entry("node", "\"" + name + "\""),
            Map.entry("zone", "\"" + zone + "\""),
            Map.entry("zones", "{\"derby-a\":\"east-mids\",\"walsall-a\":\"west-mids\",\"leicester-b\":\"east-mids\"}"),
            Map.entry("ip", "\"127.0.0.1\""),
            Map.entry("listen-addrs.front", "\"127.0.0.1:" + port + "\""),
            Map.entry("listen-addrs.ready", "\"127.0.0.1:" + readyPort + "\""),
            Map.entry("internal-ports", "[" + (first + 2) + "," + (first + 5) + "]"),
            Map.entry("provider.address", "\"" + store + "\""),
            Map.entry("limits.max-fds", "4100"),
            Map.entry("bounds.revoke-ms", "5000"),
            Map.entry("bounds.grace-s", "8"),
            Map.entry("bounds.budget-ratio", "0.2"),
            Map.entry("bounds.budget-extra", "54"),
            Map.entry("bounds.budget-window-s", "10"));
        String template = Files.readString(root.resolve("platform/settings.template.json"));
        Matcher matcher = Pattern.compile("\\{\\{([^|}]+)\\|json}}").matcher(template);
        return matcher.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1))));
    }

    private static synchronized int freePorts(int count) {
        while (true) {
            int first = nextPort;
            nextPort += count;
            List<ServerSocket> held = new ArrayList<>();
            try {
                for (int i = 0; i < count; i++) {
                    ServerSocket socket = new ServerSocket();
                    held.add(socket);
                    socket.bind(new InetSocketAddress("127.0.0.1", first + i));
                }
                return first;
            } catch (IOException taken) {
                // Tries the next ports.
            } finally {
                held.forEach(Threads::close);
            }
        }
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no run command in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("TOUCANRELAY_BOOT", settings.toString());
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.add("start " + name + " pid " + process.pid());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal to the process. */
    void signal(String signal) {
        record.add("signal " + signal + " to " + name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException | InterruptedException failed) {
            throw new IllegalStateException(failed);
        }
    }

    void kill() throws InterruptedException {
        record.add("SIGKILL to " + name);
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until the process says that it is ready; returns whether it did in time. */
    boolean awaitReady(long milliseconds) {
        long end = Record.now() + milliseconds;
        while (Record.now() < end) {
            if (isReady()) return true;
            Threads.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
            socket.setSoTimeout(1_000);
            Http.write(socket.getOutputStream(), "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
