import java.util.ArrayList;
import java.util.List;

/** The operator's manifest in the form of the users' page. */
final class Manifest {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();

    Manifest route(String name, String prefix, String kind, String service, int attempts, boolean resumable, int timeoutMs,
        String homes) {
        routes.add("{\"name\":\"" + name + "\",\"hostname\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"" + service
            + "\",\"max_attempts\":" + attempts + ",\"sticky\":" + kind.equals("streaming") + ",\"resumable\":" + resumable
            + ",\"gap_target_ms\":400,\"home_regions\":[" + homes + "]}");
        return this;
    }

    Manifest plainService(String name) {
        services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup_s\":0.0,\"cold_per_s\":0.0}");
        return this;
    }

    Manifest engineService(String name) {
        services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":210,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":24,\"kv_capacity\":386098,\"kv_bytes\":18432,"
            + "\"link_mbps\":370000.0,\"models\":[{\"name\":\"m\"}]}}");
        return this;
    }

    String text(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
