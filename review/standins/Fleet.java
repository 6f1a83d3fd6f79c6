import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A store and gateways on loopback addresses of their own, as in a small deployment. */
final class Fleet implements AutoCloseable {
    private static final String[] ZONES = {"espoo-a", "vantaa-b", "vaasa-a"};

    final Path folder;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    /** Address of the servers and of the store. */
    final String host;

    Fleet(int count) throws IOException {
        folder = Files.createTempDirectory("review");
        String net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "." + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        host = net + "1";
        store = new Store(host);
        // The same on all machines of a fleet, and below the ports that the system gives to connections.
        int firstPort = 10_000 + ThreadLocalRandom.current().nextInt(1_000) * 20;
        for (int i = 0; i < count; i++) {
            gateways.add(new Gateway(folder, "front-" + (i + 1), net + (10 + i), firstPort, ZONES[i % ZONES.length], store));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    void start() throws Exception {
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) gateway.awaitReady();
    }

    @Override
    public synchronized void close() {
        gateways.forEach(Gateway::end);
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) Files.delete(file);
            Files.delete(folder);
        } catch (IOException gone) {
            // Closed before.
        }
    }

    /** The configuration of the site kuitu-relay: routes to a plain service and to model workers, without tenants. */
    static String configuration(long version) {
        return document(version, "varasto", "neuvoja",
            route("bale-release", "/bale/", "non_idempotent", 1000, 400, 1, "varasto", "\"resumable\":false"),
            route("log-read", "/log/", "idempotent", 1000, 400, 2, "varasto", "\"resumable\":false"),
            route("batch-audit", "/audit/", "streaming", 6000, 800, 2, "neuvoja", "\"resumable\":true,\"gap-goal-ms\":300"),
            route("recipe-ask", "/recipe/", "streaming", 4000, 600, 1, "neuvoja", "\"resumable\":false,\"gap-goal-ms\":300"),
            route("shift-chat", "/chat/", "streaming", 15000, 500, 2, "neuvoja", "\"resumable\":true,\"gap-goal-ms\":300"));
    }

    private static String document(long version, String plain, String engines, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
            + engines + "\",\"health-path\":\"/health\",\"max-connections\":360,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold-start-s\":3.0,\"cold-per-s\":13.0,\"engine\":{\"slots\":64,\"kv-tokens\":345095,"
            + "\"stride\":4,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"" + plain + "\",\"health-path\":\"/health\","
            + "\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
            + "\"idle-timeout-ms\":15000,\"tokens-per-s\":168000},\"tenants\":[]}";
    }

    private static String route(String name, String prefix, String kind, int timeout, int goal, int attempts, String service,
                                String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout-ms\":" + timeout + ",\"latency-goal-ms\":" + goal + ",\"priority\":1,\"service\":\"" + service
            + "\",\"max-attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":true," + more + ",\"allowed-regions\":[]}";
    }
}
