import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients whose prompts have very many short parts, within the limits of the manifest; then ordinary requests. */
final class PromptMemory {
    private static final int REPLICAS = 12;
    private static final int CLIENTS = 12;
    private static final int REQUESTS = 2_600;
    private static final int PARTS = 1_400;
    private static final double LATEST_SECONDS = 40;
    private static final String MANIFEST = """
        {"version":1,"routes":[
        {"name":"r-ask","hostname":"moor.example","prefix":"/ask/","kind":"streaming","timeout_ms":4000,"target_latency_ms":600,"priority":0,"service":"draft-models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400,"home_regions":[]},
        {"name":"r-read","hostname":"moor.example","prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":586,"priority":2,"service":"moor-ledger","max_attempts":2,"home_regions":[]}],
        "services":[
        {"name":"draft-models","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":24,"kv_capacity":386098,"models":[{"name":"m"}]}},
        {"name":"moor-ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}""";

    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger longestHead = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new PromptMemory().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        lab.regions.put("salish-s-a", "salish-south");
        lab.store.put("op/config", MANIFEST);
        for (int number = 0; number < REPLICAS; number++) {
            new Replica(lab.store, lab.record, lab.nextIp(), "draft-models", "salish-s-a", 24, "1",
                (replica, request, output) -> replica.stream(request, output, 3, 4));
        }
        for (int number = 0; number < 2; number++) {
            new Replica(lab.store, lab.record, lab.nextIp(), "moor-ledger", "salish-s-a", 6, "1", (replica, request, output) -> {
                Thread.sleep(60);
                return Replica.send(output, "200 OK", replica.headers(request), "x".repeat(800));
            });
        }
        Host host = lab.host("salish-s-a", "");
        host.awaitReady();
        if (ordinary(lab, host) != 200) throw new CannotRun("an ordinary request is not served before the crowd");
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) clients.add(new Thread(() -> send(lab, host, hasTrouble)));
        clients.forEach(Thread::start);
        for (Thread client : clients) client.join();
        lab.record.line("crowd: " + next.get() + " requests, longest head " + longestHead + " bytes, served " + served
            + ", others " + others);
        int answered = 0;
        for (int number = 0; number < 4; number++) {
            if (ordinary(lab, host) == 200) answered++;
        }
        lab.record.line("ordinary requests after the crowd: " + answered + " of 4 answered with 200");
        lab.record.line("process lives: " + host.isAlive() + ", log lines that name OutOfMemoryError: "
            + host.logged("OutOfMemoryError"));
        return host.isAlive() && answered > 0;
    }

    /** Sends requests on kept channels, as long as there are requests left. */
    private void send(Lab lab, Host host, boolean hasTrouble) {
        Http.Channel channel = null;
        while (next.get() < REQUESTS && lab.record.seconds() < LATEST_SECONDS) {
            int number = next.incrementAndGet();
            String request = request(lab.nextId(), hasTrouble);
            longestHead.accumulateAndGet(request.length(), Math::max);
            try {
                if (channel == null) channel = new Http.Channel(host.ip, host.front, 4_100);
                Http.Message answer = channel.call(request);
                boolean isServed = answer != null && answer.status() == 200 && answer.isWhole();
                (isServed ? served : others).incrementAndGet();
                if (number % 100 == 0) lab.record.line("request " + number + " of the crowd: "
                    + (answer == null ? "closed" : answer.status() + (answer.isWhole() ? "" : ", cut")));
                if (isServed) continue;
            } catch (IOException failure) {
                others.incrementAndGet();
                if (number % 100 == 0) lab.record.line("request " + number + " of the crowd: " + failure);
            }
            try {
                if (channel != null) channel.close();
                Thread.sleep(50);
            } catch (IOException | InterruptedException ignored) {
                // The next request takes a new channel.
            }
            channel = null;
        }
    }

    private static String request(String id, boolean hasTrouble) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        StringBuilder parts = new StringBuilder();
        int count = hasTrouble ? PARTS : 3;
        for (int part = 0; part < count; part++) {
            int tokens = hasTrouble ? 1 : part < 2 ? 500 : PARTS - 1_000;
            if (part > 0) parts.append(',');
            parts.append(String.format("%08x", random.nextInt())).append(':').append(tokens);
        }
        return "POST /ask/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: " + id
            + "\r\nBuckthornwheel-Model: m\r\nBuckthornwheel-Token-Usage: " + PARTS + ",8\r\nBuckthornwheel-Prompt-Prefix: "
            + parts + "\r\nBuckthornwheel-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
    }

    /** Sends an ordinary request; returns the status of its answer, 0 for none. */
    private static int ordinary(Lab lab, Host host) {
        String id = lab.nextId();
        int status = 0;
        String text;
        try (Http.Channel channel = new Http.Channel(host.ip, host.front, 8_000)) {
            Http.Message answer = channel.call("GET /read/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: "
                + id + "\r\nBuckthornwheel-Deadline-Ms: 8000\r\n\r\n");
            if (answer != null && answer.isWhole()) status = answer.status();
            text = answer == null ? "closed" : Integer.toString(answer.status());
        } catch (IOException failure) {
            text = failure.toString();
        }
        lab.record.line("ordinary request " + id + ": " + text);
        return status;
    }
}
