import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host: the program of the deploy file, in a process of its own with a loopback address of its own. */
final class Host {
    private static final int METRICS_PORT = 9464;
    private static final int PORTS = 5;

    final String name;
    final String ip;
    final int front;
    final int ready;
    final int directory;
    private final Path settings;
    private final Path output;
    private Process process;

    Host(Lab lab, String name, String ip, String zone, String further) throws IOException {
        this.name = name;
        this.ip = ip;
        List<Integer> ports = freePorts();
        front = ports.get(0);
        ready = ports.get(1);
        directory = ports.get(2);
        int control = ports.get(3);
        int internal = ports.get(4);
        settings = lab.folder.resolve(name + ".conf");
        output = lab.folder.resolve(name + ".log");
        StringBuilder text = new StringBuilder();
        text.append("node_name=").append(name).append("\nrole=entry\nmachine_class=edge\nserves=edge,control_plane,directory\n");
        text.append("ip=").append(ip).append("\nzone=").append(zone).append("\nregion=").append(lab.regions.get(zone)).append('\n');
        lab.regions.forEach((key, value) -> text.append("zones.").append(key).append('=').append(value).append('\n'));
        text.append("listen.front=").append(ip).append(':').append(front).append('\n');
        text.append("listen.ready=").append(ip).append(':').append(ready).append('\n');
        text.append("listen.control=").append(ip).append(':').append(control).append('\n');
        text.append("listen.directory=").append(ip).append(':').append(directory).append('\n');
        text.append("internal_ports=").append(internal).append(',').append(internal).append("\nseeds=\nbootstrap=true\n");
        text.append("in_failure_budget=false\nlimits.cpu_share=0.75\nlimits.cores=1\nlimits.memory_mb=430\n");
        text.append("limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n");
        text.append("heartbeat_ms=1200\nbounds.contact_ms=5000\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.config_ms=3000\n");
        text.append("bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=58\n");
        text.append("bounds.evacuate_ms=5000\nbounds.ttl_max_s=5\n");
        text.append("platform_config.address=").append(lab.store.address).append("\nplatform_config.form=kv\n");
        text.append("platform_config.writes_per_s=400\nplatform_config.reads_per_s=2000\nplatform_config.history_s=20\n");
        text.append("platform_config.value_bytes=1048576\nplatform_config.min_ttl_ms=1000\n").append(further).append('\n');
        Files.writeString(settings, text);
    }

    /** Starts the command of the deploy file. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no run line in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" +")));
        builder.environment().put("BUCKTHORNWHEEL_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        process.getOutputStream().close();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isReady() {
        try (Http.Channel channel = new Http.Channel(ip, ready, 2_000)) {
            Http.Message answer = channel.call("GET /v1/readiness HTTP/1.1\r\nHost: h\r\n\r\n");
            return answer != null && answer.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int check = 0; check < 300 && !isReady(); check++) Thread.sleep(100);
        if (isReady()) return;
        List<String> lines = Files.readAllLines(output, StandardCharsets.ISO_8859_1);
        throw new CannotRun(name + " does not become ready, " + (isAlive() ? "runs" : "has ended") + "; its last lines: "
            + lines.subList(Math.max(0, lines.size() - 3), lines.size()));
    }

    /** The host addresses that this host's directory names to a client in [zone] of [region]. */
    String resolve(String hostName, String region, String zone) throws IOException {
        try (Http.Channel channel = new Http.Channel(ip, directory, 1_000)) {
            Http.Message answer = channel.call(
                "GET /v1/resolve?name=" + hostName + "&region=" + region + "&zone=" + zone + " HTTP/1.1\r\nHost: h\r\n\r\n");
            return answer == null ? "none" : answer.status() + " " + answer.body();
        }
    }

    /** The lines of the host's metrics that contain [text]. */
    String metrics(String text) throws IOException {
        try (Http.Channel channel = new Http.Channel(ip, METRICS_PORT, 5_000)) {
            Http.Message answer = channel.call("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
            if (answer == null) return "none";
            return String.join("; ", answer.body().lines().filter(it -> !it.startsWith("#") && it.contains(text)).toList());
        }
    }

    /** Lines of the log that contain [text]. */
    long logged(String text) throws IOException {
        try (var lines = Files.lines(output, StandardCharsets.ISO_8859_1)) {
            return lines.filter(it -> it.contains(text)).count();
        }
    }

    /** Free ports, all different: the sockets that find them are open at the same time. */
    private List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int number = 0; number < PORTS; number++) sockets.add(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) socket.close();
        }
    }
}
