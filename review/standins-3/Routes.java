/** Entries of the operator's configuration. */
final class Routes {
    private Routes() {
    }

    /** A route to a plain service. */
    static String plain(String name, String prefix, String kind, int timeout, String service) {
        return route(name, prefix, kind, timeout, 486, service, 2, false);
    }

    static String route(
        String name, String prefix, String kind, int timeout, int goal, String service, int attempts, boolean resumable
    ) {
        return "{\"name\":\"" + name + "\",\"host\":\"depot.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout-ms\":" + timeout + ",\"latency-goal-ms\":" + goal + ",\"priority\":1,\"service\":\""
            + service + "\",\"max-attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":false,\"resumable\":"
            + resumable + ",\"gap-goal-ms\":300,\"allowed-regions\":[]}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-connections\":100,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}";
    }

    static String engines(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-connections\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"engine\":{\"slots\":64,\"kv-tokens\":273387,"
            + "\"kv-bytes\":163840,\"link-mbps\":280000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,"
            + "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    }
}
