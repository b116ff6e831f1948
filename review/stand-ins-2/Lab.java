import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: hosts in processes of their own, and stand-ins in this process. */
final class Lab {
    /** What a case does; returns whether the rule held. */
    interface Body {
        boolean run(Lab lab, boolean hasTrouble) throws Exception;
    }

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_CANNOT_RUN = 2;

    final Path folder;
    final Record record;
    final Store store;
    final Map<String, String> regions = new LinkedHashMap<>();
    final List<Host> hosts = new ArrayList<>();
    private final String network;
    private final AtomicLong requests = new AtomicLong(System.nanoTime() << 20);
    private int addresses;

    private Lab(Path caseFolder) throws IOException {
        long pid = ProcessHandle.current().pid();
        network = "127." + (64 + (pid >> 8 & 127)) + "." + (pid & 255) + ".";
        folder = Files.createTempDirectory("review");
        record = new Record(caseFolder);
        store = new Store(nextIp());
    }

    /** Runs [body] with the folder of the case as the only argument, and exits with the result. */
    static void main(String[] arguments, Body body) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Lab lab = new Lab(Path.of(arguments[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
        int code;
        try {
            lab.record.line(hasTrouble ? "with the disruption" : "without the disruption");
            code = body.run(lab, hasTrouble) ? EXIT_HELD : EXIT_BROKEN;
        } catch (Exception | AssertionError failure) {
            lab.record.line("cannot run: " + failure);
            failure.printStackTrace();
            code = EXIT_CANNOT_RUN;
        }
        lab.record.line("exit " + code);
        System.exit(code);
    }

    String nextIp() {
        return network + ++addresses;
    }

    String nextId() {
        return Long.toHexString(requests.incrementAndGet());
    }

    Host host(String zone, String further) throws IOException {
        Host host = new Host(this, "edge-" + zone + "-" + (hosts.size() + 1), nextIp(), zone, further);
        hosts.add(host);
        host.start();
        return host;
    }

    private void close() {
        hosts.stream().filter(Host::isAlive).forEach(Host::kill);
        if ("1".equals(System.getenv("KEEP"))) {
            System.err.println("logs are kept in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException ignored) {
            // A temporary folder that stays does no harm.
        }
    }
}
