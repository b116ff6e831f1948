import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A key is removed; later the store returns from an older copy while a host restarts. */
final class RevokedKey {
    private static final double REVOKE_SECONDS = 5;
    private static final long AFTER_REVOCATION_MILLISECONDS = 7_000;
    private static final long WRITTEN_AGAIN_MILLISECONDS =
        Long.parseLong(System.getenv().getOrDefault("AGAIN", "1000"));
    private static final String REMOVED = "jbvk9m68k7b2ex5wa5xw";
    private static final String KEPT = "yhks8nbkxxmibw6kpqk8";
    private static final String MANIFEST = """
        {"version":%d,"routes":[
        {"name":"r-read","hostname":"moor.example","prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":586,"priority":2,"service":"moor-ledger","max_attempts":2,"public":false,"home_regions":[]}],
        "services":[{"name":"moor-ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"huka270","api_keys":[%s],"priority":1,"unit":"token_metering","plain_tokens":200,"rate_per_s":860312,"burst":860312,"home_regions":[]}]}""";

    /** When each request with the removed key was sent, in seconds. */
    private final Map<String, Double> sent = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger keptServed = new AtomicInteger();
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private volatile double removedAt = Double.MAX_VALUE / 2;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new RevokedKey().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        lab.regions.put("dar-a", "dar");
        lab.store.put("op/config", MANIFEST.formatted(7, '"' + REMOVED + "\",\"" + KEPT + '"'));
        for (int number = 0; number < 3; number++) {
            new Replica(lab.store, lab.record, lab.nextIp(), "moor-ledger", "dar-a", 6, "1", (replica, request, output) -> {
                ran(lab, replica, request.header("Buckthornwheel-Request-Id"));
                Thread.sleep(20);
                return Replica.send(output, "200 OK", replica.headers(request), "x".repeat(800));
            });
        }
        String bounds = "bounds.strict_revoke=true\nbounds.revoke_ms=" + (int) (REVOKE_SECONDS * 1_000);
        Host running = lab.host("dar-a", bounds);
        Host restarted = lab.host("dar-a", bounds);
        running.awaitReady();
        restarted.awaitReady();
        Thread.sleep(4_000);
        for (Host host : lab.hosts) {
            if (call(lab, host, REMOVED, true) != 200) throw new CannotRun("the key is not accepted before its removal");
        }
        lab.store.copy();
        lab.record.line("copy of the store");
        Thread.sleep(1_000);
        lab.store.put("op/config", MANIFEST.formatted(9, '"' + KEPT + '"'));
        removedAt = lab.record.seconds();
        lab.record.line("manifest without the key is acknowledged");
        Thread.sleep(AFTER_REVOCATION_MILLISECONDS);
        for (Host host : lab.hosts) {
            if (call(lab, host, REMOVED, true) != 401) throw new CannotRun("the key is accepted after its removal");
        }
        List<Thread> threads = new ArrayList<>();
        for (Host host : lab.hosts) for (String key : List.of(REMOVED, KEPT)) threads.add(new Thread(() -> send(lab, host, key)));
        threads.forEach(Thread::start);
        Thread.sleep(500);
        restarted.kill();
        if (hasTrouble) lab.store.restore();
        lab.record.line("kill of " + restarted.name + (hasTrouble ? "; the store returns from the copy" : ""));
        restarted.start();
        Thread.sleep(WRITTEN_AGAIN_MILLISECONDS);
        lab.store.put("op/config", MANIFEST.formatted(9, '"' + KEPT + '"'));
        lab.record.line("manifest without the key is written again");
        Thread.sleep(6_000);
        isEnded.set(true);
        for (Thread thread : threads) thread.join();
        lab.record.line("requests with the other key served: " + keptServed);
        lab.record.line("requests that ran, sent later than revoke_ms after the acknowledgement with the removed key: " + broken);
        if (keptServed.get() == 0) throw new CannotRun("no request with the other key is served");
        return broken.get() == 0;
    }

    private void ran(Lab lab, Replica replica, String id) {
        Double at = sent.get(id);
        if (at == null) return;
        boolean isBroken = at > removedAt + REVOKE_SECONDS;
        if (isBroken) broken.incrementAndGet();
        lab.record.line("request " + id + " with the removed key runs at " + replica.id + (isBroken ? ", too late" : ""));
    }

    private void send(Lab lab, Host host, String key) {
        while (!isEnded.get()) {
            int status = call(lab, host, key, false);
            if (key.equals(KEPT) && status == 200) keptServed.incrementAndGet();
            try {
                Thread.sleep(25);
            } catch (InterruptedException failure) {
                return;
            }
        }
    }

    private int call(Lab lab, Host host, String key, boolean isLogged) {
        String id = lab.nextId();
        if (key.equals(REMOVED)) sent.put(id, lab.record.seconds());
        int status = 0;
        try (Http.Channel channel = new Http.Channel(host.ip, host.front, 5_000)) {
            Http.Message answer = channel.call("GET /read/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: "
                + id + "\r\nBuckthornwheel-Key: " + key + "\r\nBuckthornwheel-Deadline-Ms: 4000\r\n\r\n");
            if (answer != null) status = answer.status();
        } catch (IOException notServed) {
            // The host is down.
        }
        if (isLogged || (key.equals(REMOVED) && status == 200)) {
            lab.record.line("request " + id + (key.equals(REMOVED) ? " with the removed key at " : " at ") + host.name + ": " + status);
        }
        return status;
    }
}
