import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Replicas start again one after the other under their ids, with the next version of their software. */
final class JoinedStreams {
    private static final int REPLICAS = 4;
    private static final int CLIENTS = 40;
    private static final int EVENTS = 15;
    private static final long PAUSE_MILLISECONDS = 200;
    private static final long DOWN_MILLISECONDS = 300;
    private static final long ENTRY_MILLISECONDS = 1_000;
    private static final long GAP_MILLISECONDS = 800;
    private static final double RELEASE_AT_SECONDS = 20;
    private static final double END_SECONDS = 30;
    private static final int PERMITTED = 2;
    private static final Pattern VERSION = Pattern.compile("data: version (\\w+) ");
    private static final String MANIFEST = """
        {"version":1,"routes":[
        {"name":"r-ask","hostname":"moor.example","prefix":"/ask/","kind":"streaming","timeout_ms":4000,"target_latency_ms":600,"priority":0,"service":"draft-models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400,"home_regions":[]}],
        "services":[
        {"name":"draft-models","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":%s,"engine":{"slots":24,"kv_capacity":386098,"models":[{"name":"m"}]}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}""";

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger joined = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new JoinedStreams().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        lab.regions.put("salish-s-a", "salish-south");
        lab.store.put("op/config", MANIFEST.formatted(System.getenv().getOrDefault("COLD", "0.0")));
        List<Replica> replicas = new ArrayList<>();
        for (int number = 0; number < REPLICAS; number++) {
            replicas.add(new Replica(lab.store, lab.record, lab.nextIp(), "draft-models", "salish-s-a", 24, "1",
                (replica, request, output) -> replica.stream(request, output, EVENTS, PAUSE_MILLISECONDS)));
        }
        Host host = lab.host("salish-s-a", "");
        host.awaitReady();
        Thread.sleep(2_000);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) clients.add(new Thread(() -> send(lab, host)));
        for (Thread client : clients) {
            client.start();
            Thread.sleep(75);
        }
        Thread.sleep((long) (RELEASE_AT_SECONDS * 1_000 - lab.record.seconds() * 1_000));
        for (Replica replica : hasTrouble ? replicas : List.<Replica>of()) {
            lab.record.line(replica.id + " stops, and starts again with version 2");
            replica.upgrade("2", DOWN_MILLISECONDS, ENTRY_MILLISECONDS);
            Thread.sleep(GAP_MILLISECONDS);
        }
        for (Thread client : clients) client.join();
        lab.record.line("streams: whole " + whole + ", cut " + cut + ", refused " + refused
            + "; with events of both versions: " + joined + " (permitted: " + PERMITTED + ")");
        if (whole.get() < 100) throw new CannotRun("too few streams are served");
        return joined.get() <= PERMITTED;
    }

    private void send(Lab lab, Host host) {
        while (lab.record.seconds() < END_SECONDS) {
            String id = lab.nextId();
            try (Http.Channel channel = new Http.Channel(host.ip, host.front, 5_000)) {
                Http.Message answer = channel.call("POST /ask/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: "
                    + id + "\r\nBuckthornwheel-Model: m\r\nBuckthornwheel-Token-Usage: 383,60\r\nBuckthornwheel-Prompt-Prefix: "
                    + "5c1e07a2:55,91bd3f06:37," + id.substring(id.length() - 8)
                    + ":291\r\nBuckthornwheel-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
                if (answer == null || answer.status() != 200) {
                    refused.incrementAndGet();
                    Thread.sleep(300);
                    continue;
                }
                (answer.isWhole() ? whole : cut).incrementAndGet();
                Set<String> versions = new TreeSet<>();
                for (Matcher event = VERSION.matcher(answer.body()); event.find();) versions.add(event.group(1));
                if (versions.size() < 2) continue;
                joined.incrementAndGet();
                lab.record.line("stream " + id + (answer.isWhole() ? ", whole" : ", cut") + ", signed by "
                    + answer.header("Buckthornwheel-Response-Signature") + ": events of versions " + versions + "; "
                    + answer.body().replaceAll("\nid: ", " | id: ").replaceAll("\ndata: version (\\w+) of \\w+\n", " v$1"));
            } catch (IOException | InterruptedException failure) {
                cut.incrementAndGet();
            }
        }
    }
}
