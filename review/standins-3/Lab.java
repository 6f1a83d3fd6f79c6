import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** What all scripts share: the processes under test, their settings and the record of what was seen. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final long STARTED = System.nanoTime();

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    /** One process of the deploy file's role, and the ports that it was given. */
    static final class Gateway {
        final String name;
        final Process process;
        final int callers;
        final int ready;
        final Path log;

        Gateway(String name, Process process, int callers, int ready, Path log) {
            this.name = name;
            this.process = process;
            this.callers = callers;
            this.ready = ready;
            this.log = log;
        }

        boolean isReady() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ready)) {
                socket.setSoTimeout(1_000);
                String request = "GET /readiness HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                return new Http(socket.getInputStream()).head().status() == 200;
            } catch (IOException | RuntimeException failure) {
                return false;
            }
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    final Store store = new Store();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final Path temporary;

    Lab(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("review-3-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(each -> each.process.destroyForcibly())));
    }

    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(Task task) {
        Thread thread = daemon(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The connection or the case has ended.
            }
        });
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) throws InterruptedException {
        Thread.sleep(Math.max(0, milliseconds));
    }

    synchronized void record(String line) {
        record.println(String.format("%7d ms  %s", now(), line));
        record.flush();
    }

    /** Writes the operator's configuration; its version is the first argument. */
    void configure(int version, String routes, String services, String tenants) {
        store.write("op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + services + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tokens-per-s\":168000}"
            + (tenants == null ? "" : ",\"tenants\":[" + tenants + "]") + "}");
    }

    /** Registers {@code worker} and renews its entry as a worker does. */
    void register(Worker worker, String service, int slots) {
        register(worker, service, slots, "1");
    }

    void register(Worker worker, String service, int slots, String version) {
        long born = System.currentTimeMillis();
        start(() -> {
            for (int sequence = 1; ; sequence++) {
                store.write("servers", worker.id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                    + worker.port() + "\",\"zone\":\"derby-a\",\"version\":\"" + version + "\",\"slots\":" + slots
                    + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" + sequence + ",\"born\":" + born
                    + "}");
                sleep(1_200);
            }
        });
    }

    /** Starts a process with the command of the deploy file and settings like those of a small deployment. */
    Gateway startGateway(String name) throws Exception {
        int member = freePorts();
        int callers = member + 3;
        int ready = member + 4;
        Path settings = temporary.resolve(name + ".json");
        Files.writeString(settings, settingsText(name, member, callers, ready));
        Path log = temporary.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TOUCANRELAY_BOOT", settings.toString());
        Gateway gateway = new Gateway(name, builder.start(), callers, ready, log);
        gateways.add(gateway);
        return gateway;
    }

    boolean awaitReady(Gateway gateway) throws InterruptedException {
        for (long until = now() + 30_000; now() < until; sleep(100)) if (gateway.isReady()) return true;
        return false;
    }

    private String settingsText(String name, int member, int callers, int ready) throws IOException {
        String[][] fields = {
            {"node", "\"" + name + "\""}, {"zone", "\"derby-a\""},
            {"zones", "{\"derby-a\":\"east-mids\",\"leicester-b\":\"east-mids\",\"walsall-a\":\"west-mids\"}"},
            {"ip", "\"127.0.0.1\""}, {"listen-addrs.front", "\"127.0.0.1:" + callers + "\""},
            {"listen-addrs.ready", "\"127.0.0.1:" + ready + "\""},
            {"internal-ports", "[" + member + "," + (member + 2) + "]"},
            {"provider.address", "\"127.0.0.1:" + store.port() + "\""}, {"limits.max-fds", "4100"},
            {"bounds.revoke-ms", "5000"}, {"bounds.grace-s", "8"}, {"bounds.budget-ratio", "0.2"},
            {"bounds.budget-extra", "54"}, {"bounds.budget-window-s", "10"},
        };
        String text = Files.readString(Path.of("platform/settings.template.json"));
        for (String[] field : fields) text = text.replace("{{" + field[0] + "|json}}", field[1]);
        return text;
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no run command in deploy/system.toml");
        return List.of(run.group(1).split(" "));
    }

    /** Returns the first of five free ports, below those that the system gives to outgoing connections. */
    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + (int) (Math.random() * 10_000);
            if (IntStream.range(first, first + 5).allMatch(Lab::isFree)) return first;
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    /** Ends all that the case started, and the program with {@code outcome}. */
    void end(int outcome, String why) throws Exception {
        record("outcome " + outcome + ": " + why);
        System.out.println("outcome " + outcome + ": " + why);
        close();
        System.exit(outcome);
    }

    @Override
    public void close() throws Exception {
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly();
            gateway.process.waitFor();
            if (System.getenv("KEEP_LOGS") != null) System.out.println("log " + gateway.log);
        }
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(temporary)) {
                for (Path file : (Iterable<Path>) files::iterator) Files.delete(file);
            }
            Files.delete(temporary);
        }
        record.close();
    }
}
