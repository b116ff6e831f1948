import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A prompt part crashes each replica that begins to answer it; the identifiers of parts are digests. */
final class DeadlyPart {
    private static final int HOSTS_PER_ZONE = 4;
    private static final int REPLICAS = 14;
    private static final int SLOTS = 96;
    private static final int SOUND_CLIENTS_PER_HOST = Integer.parseInt(System.getenv().getOrDefault("CLIENTS", "90"));
    private static final int CRASHED_TOGETHER = Integer.parseInt(System.getenv().getOrDefault("CRASHED", "3"));
    private static final long RESTART_MILLISECONDS = 3_000;
    private static final double CONTACT_SECONDS = 5;
    private static final double DEADLY_FROM_SECONDS = 10;
    private static final long DEADLY_INTERVAL_MILLISECONDS = 700;
    private static final long AFTER_CRASH_MILLISECONDS = 1_000;
    private static final double END_SECONDS = 46;
    private static final int PERMITTED = 3;
    private static final String MANIFEST = """
        {"version":1,"routes":[
        {"name":"r-draft","hostname":"moor.example","prefix":"/draft/","kind":"streaming","timeout_ms":8000,"target_latency_ms":800,"priority":1,"service":"draft-models","max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":400,"home_regions":[]}],
        "services":[
        {"name":"draft-models","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":96,"kv_capacity":537346,"models":[{"name":"m"}]}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}""";

    /** Hexadecimal digits of the identifier of a part: 64 for a digest of 256 bits. */
    private final int digits = Integer.parseInt(System.getenv().getOrDefault("DIGITS", "64"));
    private final String deadlyPart = name("dead0001");
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger cutLate = new AtomicInteger();
    private final AtomicLong fifthCrashMilliseconds = new AtomicLong(Long.MAX_VALUE / 2);

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new DeadlyPart().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        List<String> zones = List.of("salish-s-a", "salish-s-b", "salish-s-c");
        zones.forEach(zone -> lab.regions.put(zone, "salish-south"));
        lab.store.put("op/config", MANIFEST);
        List<Replica> replicas = new ArrayList<>();
        for (int number = 0; number < REPLICAS; number++) {
            replicas.add(new Replica(lab.store, lab.record, lab.nextIp(), "draft-models", zones.get(number % zones.size()), SLOTS, "1",
                (replica, request, output) -> answer(lab, replica, request, output)));
        }
        for (int number = 0; number < HOSTS_PER_ZONE; number++) for (String zone : zones) lab.host(zone, "");
        for (Host host : lab.hosts) host.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (Host host : lab.hosts) {
            for (int number = 0; number < SOUND_CLIENTS_PER_HOST; number++) threads.add(new Thread(() -> sound(lab, host)));
        }
        if (hasTrouble) threads.add(new Thread(() -> deadly(lab, replicas)));
        threads.forEach(Thread::start);
        for (Thread thread : threads) thread.join();
        long unreadable = 0;
        for (Host host : lab.hosts) unreadable += host.logged("unreadable datagram");
        lab.record.line("sound requests: served " + served + ", refused " + refused + ", cut " + cut + ", of these "
            + cutLate + " later than contact_ms after the fifth crash");
        lab.record.line("unreadable heartbeats in the hosts' logs: " + unreadable);
        lab.record.line("crashes: " + crashes + "; requests with the part that reached replicas, sent later than contact_ms"
            + " after the fifth crash: " + late + " (permitted: " + PERMITTED + ")");
        if (served.get() < 1_000) throw new CannotRun("too few sound requests are served");
        if (hasTrouble && crashes.get() < 3) throw new CannotRun("fewer than three crashes");
        return late.get() <= PERMITTED;
    }

    private boolean answer(Lab lab, Replica replica, Http.Message request, OutputStream output) throws Exception {
        if (!request.header("Buckthornwheel-Prompt-Prefix").contains(deadlyPart)) {
            return replica.stream(request, output, 10, 550);
        }
        long arrival = (long) (lab.record.seconds() * 1_000);
        Thread.sleep(50);
        int number = crashes.incrementAndGet();
        if (number == 5) fifthCrashMilliseconds.set(arrival + 50);
        boolean isLate = arrival > fifthCrashMilliseconds.get() + CONTACT_SECONDS * 1_000;
        if (isLate) late.incrementAndGet();
        lab.record.line("crash " + number + " of " + replica.id + " by request "
            + request.header("Buckthornwheel-Request-Id") + (isLate ? ", late" : ""));
        replica.crash(RESTART_MILLISECONDS);
        return false;
    }

    /** Sends sound requests one after the other. */
    private void sound(Lab lab, Host host) {
        Http.Channel channel = null;
        pause(ThreadLocalRandom.current().nextInt(5_500));
        while (lab.record.seconds() < END_SECONDS) {
            try {
                if (channel == null) channel = new Http.Channel(host.ip, host.front, 9_000);
                Http.Message answer = channel.call(request(lab.nextId(), false));
                if (answer != null && answer.status() == 200 && answer.isWhole()) {
                    served.incrementAndGet();
                    continue;
                }
                if (answer != null && answer.status() != 200) refused.incrementAndGet(); else recordCut(lab);
                channel.close();
            } catch (IOException failure) {
                recordCut(lab);
            }
            channel = null;
            pause(300);
        }
    }

    private void recordCut(Lab lab) {
        cut.incrementAndGet();
        if (lab.record.seconds() * 1_000 > fifthCrashMilliseconds.get() + CONTACT_SECONDS * 1_000) cutLate.incrementAndGet();
    }

    /** Sends requests with the deadly part to each host in turn. */
    private void deadly(Lab lab, List<Replica> replicas) {
        pause((long) (DEADLY_FROM_SECONDS * 1_000 - lab.record.seconds() * 1_000));
        for (int number = 0; number < CRASHED_TOGETHER; number++) {
            lab.record.line("crash of " + replicas.get(number).id + ", not by a request");
            try {
                replicas.get(number).crash(RESTART_MILLISECONDS);
            } catch (IOException failure) {
                throw new CannotRun("a replica cannot crash: " + failure);
            }
        }
        pause(AFTER_CRASH_MILLISECONDS);
        for (int number = 0; lab.record.seconds() < END_SECONDS - 2; number++) {
            Host host = lab.hosts.get(number % lab.hosts.size());
            String id = lab.nextId();
            Thread thread = new Thread(() -> {
                String text;
                try (Http.Channel channel = new Http.Channel(host.ip, host.front, 9_000)) {
                    Http.Message answer = channel.call(request(id, true));
                    text = answer == null ? "closed" : answer.status() + (answer.isWhole() ? "" : ", cut");
                } catch (IOException failure) {
                    text = failure.toString();
                }
                lab.record.line("request " + id + " with the part, at " + host.name + ": " + text);
            });
            thread.setDaemon(true);
            thread.start();
            pause(DEADLY_INTERVAL_MILLISECONDS);
        }
    }

    private String request(String id, boolean isDeadly) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String first = name(String.format("%08x", 0x10000000 + random.nextInt(8)));
        String second = isDeadly ? deadlyPart : name(String.format("%08x", 0x20000000 + random.nextInt(200)));
        String last = name(String.format("%08x", random.nextInt()));
        return "POST /draft/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: " + id
            + "\r\nBuckthornwheel-Model: m\r\nBuckthornwheel-Token-Usage: 1840,100\r\nBuckthornwheel-Prompt-Prefix: "
            + first + ":600," + second + ":1200," + last + ":40"
            + "\r\nBuckthornwheel-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    }

    private String name(String digest) {
        return digest.repeat(digits / 8);
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }
}
