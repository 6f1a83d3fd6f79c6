import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A small deployment on loopback addresses: a store, workers and processes of the system. */
final class Lab implements AutoCloseable {
    static final String TENANT = "{\"name\":\"acme\",\"api-keys\":[%s],\"priority\":1,\"allowed-regions\":[]}";
    static final int MODEL_SERVICES = 8;

    /** Keeps the verdicts apart from the codes with which a runtime ends that could not run the case. */
    private static final int FIRST_EXIT_CODE = 20;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    private final Path directory;

    Lab(Path recordFile) throws IOException {
        record = new Record(recordFile);
        store = new Store();
        directory = Files.createTempDirectory("review");
        record.add(hasTrouble ? "with the disruption" : "without the disruption");
    }

    /** Returns a configuration with the routes {@code /book/}, {@code /stock/} and {@code /brief0/}, {@code /brief1/}. */
    static String configuration(long version, String keys) {
        String common = "\"host\":\"relay.example\",\"priority\":1,\"sticky\":false,\"allowed-regions\":[],";
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"book\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout-ms\":6000,"
            + "\"latency-goal-ms\":486,\"service\":\"depot\",\"max-attempts\":2,\"anonymous\":false,"
            + "\"resumable\":false," + common.substring(0, common.length() - 1) + "},"
            + "{\"name\":\"stock\",\"prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout-ms\":6000,"
            + "\"latency-goal-ms\":486,\"service\":\"depot\",\"max-attempts\":2,\"anonymous\":false,"
            + "\"resumable\":false," + common.substring(0, common.length() - 1) + "},"
            + briefRoutes(common) + "],"
            + "\"services\":["
            + "{\"name\":\"depot\",\"health-path\":\"/health\",\"max-connections\":100,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0},"
            + modelServices() + "],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
            + "\"idle-timeout-ms\":15000,\"tokens-per-s\":168000},"
            + "\"tenants\":[" + String.format(TENANT, keys) + "]}";
    }

    private static String briefRoutes(String common) {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < MODEL_SERVICES; i++) {
            routes.add("{\"name\":\"brief" + i + "\",\"prefix\":\"/brief" + i + "/\",\"kind\":\"streaming\","
                + "\"timeout-ms\":15000,\"latency-goal-ms\":600,\"gap-goal-ms\":300,\"service\":\"lm" + i + "\","
                + "\"max-attempts\":2,\"anonymous\":false,\"resumable\":true,"
                + common.substring(0, common.length() - 1) + "}");
        }
        return String.join(",", routes);
    }

    private static String modelServices() {
        List<String> services = new ArrayList<>();
        for (int i = 0; i < MODEL_SERVICES; i++) {
            services.add("{\"name\":\"lm" + i + "\",\"health-path\":\"/health\",\"max-connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":13.0,"
                + "\"engine\":{\"slots\":64,\"kv-tokens\":273387,\"stride\":4,\"models\":[{\"name\":\"m\"}]}}");
        }
        return String.join(",", services);
    }

    <W extends Worker> W add(W worker) {
        workers.add(worker);
        worker.start();
        return worker;
    }

    Gateway startGateway(String name, String zone) throws IOException {
        return startGateway(name, zone, store.address());
    }

    Gateway startGateway(String name, String zone, String storeAddress) throws IOException {
        Gateway gateway = new Gateway(name, zone, root, directory, storeAddress, record);
        gateways.add(gateway);
        gateway.start();
        return gateway;
    }

    /** Ends the case with {@code code}: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    void end(int code, String verdict) {
        record.add("verdict " + code + " " + verdict);
        System.out.println(verdict);
        close();
        System.exit(FIRST_EXIT_CODE + code);
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::close);
        workers.forEach(Worker::close);
        Threads.close(() -> {
            store.close();
        });
        try (var files = Files.walk(directory)) {
            if (System.getenv("KEEP") == null) files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // A temporary folder.
        }
    }
}
