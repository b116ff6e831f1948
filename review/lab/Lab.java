import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: a store, replicas, and entry hosts started with the run line of the
 * deploy file. Each host has a loopback address of its own, because the metrics port is fixed.
 */
final class Lab implements AutoCloseable {
    /** Bounds of the small deployments, from the users' sheets. */
    static final long CONTACT_MS = 5000;
    static final long CONFIG_MS = 3000;
    static final long EVACUATE_MS = 5000;

    final Record record;
    final Store store;
    final boolean trouble;
    final List<Host> hosts = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();
    /** Zone to region. */
    final Map<String, String> zones = new LinkedHashMap<>();
    private static final java.util.Random RANDOM = new java.util.Random();
    private static final java.util.Set<Integer> GIVEN = new java.util.HashSet<>();
    private final Path folder;
    private final Path root = Path.of("").toAbsolutePath();
    final int frontPort = freePort();
    final int readyPort = freePort();
    final int controlPort = freePort();
    final int directoryPort = freePort();
    final int internalPort = freePort();
    /** The first three bytes of this run's addresses, so that runs beside each other do not meet. */
    private final String network = "127." + (16 + RANDOM.nextInt(200)) + "." + (1 + RANDOM.nextInt(250)) + ".";
    private int nextHost = 1;
    private int nextReplica = 1;

    Lab(Path recordFile) throws IOException {
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new Record(recordFile);
        record.line("trouble " + (trouble ? "on" : "off"));
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Host host : hosts) if (host.process != null) host.process.destroyForcibly();
        }));
        folder = Files.createTempDirectory("review");
    }

    /** One entry host of the deploy file. */
    final class Host {
        final String name;
        final String zone;
        final String ip;
        final Path settings;
        private Process process;

        Host(String name, String zone, String ip) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.settings = folder.resolve(name + ".conf");
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, frontPort);
        }

        void start() throws IOException {
            Files.writeString(settings, settingsText(this));
            List<String> words = new ArrayList<>(List.of(runLine().split(" +")));
            ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BUCKTHORNWHEEL_SETTINGS", settings.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line("host " + name + " started in zone " + zone);
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record.line("host " + name + " killed");
        }

        boolean isReady() {
            try {
                Client.Answer answer =
                    Client.send(new InetSocketAddress(ip, readyPort), "GET", "/v1/readiness", Map.of("Host", "h"), null, 1000);
                return answer.status == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        void awaitReady(long milliseconds) throws InterruptedException {
            long end = System.currentTimeMillis() + milliseconds;
            while (!isReady()) {
                if (System.currentTimeMillis() > end) throw new IllegalStateException(name + " did not become ready");
                Thread.sleep(50);
            }
            record.line("host " + name + " is ready");
        }

        /** Lines of the host's log that contain the text. */
        long logLines(String text) {
            try (var lines = Files.lines(folder.resolve(name + ".log"))) {
                return lines.filter(it -> it.contains(text)).count();
            } catch (IOException failure) {
                return -1;
            }
        }
    }

    Host host(String zone) throws IOException {
        int number = nextHost++;
        Host host = new Host("edge-" + zone + "-" + number, zone, network + number);
        hosts.add(host);
        return host;
    }

    Replica replica(String service, String zone, int slots, Replica.Behaviour behaviour) throws IOException {
        int number = nextReplica++;
        Replica replica = new Replica(this, String.format("i-%08x", 0x1000 + number * 7919), service, zone,
            network + (100 + number), slots, behaviour);
        replicas.add(replica);
        return replica;
    }

    private String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IllegalStateException("no run line in the deploy file");
    }

    private String settingsText(Host host) {
        StringBuilder text = new StringBuilder();
        String region = zones.get(host.zone);
        text.append("node_name=").append(host.name).append("\nrole=entry\nmachine_class=edge\n");
        text.append("serves=edge,control_plane,directory\nip=").append(host.ip).append('\n');
        text.append("zone=").append(host.zone).append("\nregion=").append(region).append('\n');
        zones.forEach((zone, of) -> text.append("zones.").append(zone).append('=').append(of).append('\n'));
        text.append("listen.front=").append(host.ip).append(':').append(frontPort).append('\n');
        text.append("listen.ready=").append(host.ip).append(':').append(readyPort).append('\n');
        text.append("listen.control=").append(host.ip).append(':').append(controlPort).append('\n');
        text.append("listen.directory=").append(host.ip).append(':').append(directoryPort).append('\n');
        text.append("internal_ports=").append(internalPort).append(',').append(internalPort).append('\n');
        text.append("seeds=");
        for (int index = 0; index < Math.min(3, hosts.size()); index++) {
            if (index > 0) text.append(',');
            text.append(hosts.get(index).ip).append(':').append(controlPort);
        }
        text.append("\nbootstrap=true\nin_failure_budget=false\nlimits.cpu_share=0.75\nlimits.cores=1\n");
        text.append("limits.memory_mb=430\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n");
        text.append("discovery=platform\nentry=directory\nheartbeat_ms=1200\n");
        text.append("contracts=base,drain,config,cost,retry,recover,engine,stream,places,platform\n");
        text.append("fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n");
        text.append("bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=5000\nbounds.ack_ms=6000\n");
        text.append("bounds.catchup_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n");
        text.append("bounds.config_ms=3000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=8000\n");
        text.append("bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=58\n");
        text.append("bounds.cold_overage=1.5\nbounds.cold_slack=3\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\n");
        text.append("bounds.pass_ms=600\nbounds.reuse_window_s=10\nbounds.ttl_max_s=5\n");
        text.append("platform_config.address=").append(store.address()).append("\nplatform_config.form=kv\n");
        text.append("platform_config.writes_per_s=400\nplatform_config.reads_per_s=2000\n");
        text.append("platform_config.history_s=20\nplatform_config.value_bytes=1048576\n");
        text.append("platform_config.min_ttl_ms=1000\n");
        return text.toString();
    }

    /** A port that is free at the moment, below those that the system gives to outgoing connections; each one once. */
    static synchronized int freePort() {
        try {
            while (true) {
                int port = 12_000 + RANDOM.nextInt(18_000);
                if (!GIVEN.add(port)) continue;
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
                    return port;
                } catch (java.net.BindException taken) {
                    // Another port is tried.
                }
            }
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Ends all processes that were started; keeps their logs if REVIEW_LOGS names a folder. */
    @Override
    public void close() throws IOException {
        for (Host host : hosts) if (host.process != null) host.process.destroyForcibly();
        for (Host host : hosts) {
            try {
                if (host.process != null) host.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        replicas.forEach(Replica::stop);
        store.stop();
        String kept = System.getenv("REVIEW_LOGS");
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept != null && file.toString().endsWith(".log")) Files.copy(file, Path.of(kept).resolve(file.getFileName()));
                Files.delete(file);
            }
        }
        record.close();
    }

    /** Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String folder, Case body) {
        int code = 2;
        try (Lab lab = new Lab(Path.of(folder).resolve("record.txt"))) {
            try {
                boolean broken = body.isBroken(lab);
                lab.record.line(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
                code = broken ? 1 : 0;
            } catch (Throwable failure) {
                lab.record.line("RESULT: the case could not run: " + failure);
                failure.printStackTrace();
            }
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    interface Case {
        boolean isBroken(Lab lab) throws Exception;
    }
}
