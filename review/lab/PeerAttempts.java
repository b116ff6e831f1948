import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas reset a part of their streams, on a route with homes in other regions than the client's. */
final class PeerAttempts {
    private static final int MAX_ATTEMPTS = 2;
    private static final double REPLICA_SHARE = 0.6;
    private static final double RESET_SHARE = 0.4;
    private static final long RESET_FOR_MS = 4000;
    private static final int PER_HOST_PER_S = 40;

    private static final Map<String, Set<String>> REPLICAS_BY_REQUEST = new ConcurrentHashMap<>();
    private static volatile boolean resets;
    private static final Set<String> RESETTING = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger NUMBER = new AtomicInteger(0x100000);

    public static void main(String[] arguments) {
        Lab.run(arguments[0], PeerAttempts::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.zones.put("salish-s-a", "salish-south");
        lab.zones.put("strait-n-a", "strait-north");
        lab.zones.put("outer-c-a", "outer-coast");
        Map<String, int[]> sizes = Map.of("salish-s-a", new int[] {2, 5}, "strait-n-a", new int[] {2, 4}, "outer-c-a", new int[] {2, 3});
        for (String zone : lab.zones.keySet()) {
            for (int number = 0; number < sizes.get(zone)[1]; number++) lab.replica("models", zone, 24, PeerAttempts::answer);
        }
        lab.store.put("op/config", new Manifest().engineService("models").route("ask", "/ask/", "streaming", "models",
            MAX_ATTEMPTS, true, 4000, "\"salish-south\",\"strait-north\"").text(7));
        for (String zone : lab.zones.keySet()) for (int number = 0; number < sizes.get(zone)[0]; number++) lab.host(zone);
        for (Lab.Host host : lab.hosts) host.start();
        for (Lab.Host host : lab.hosts) host.awaitReady(30_000);
        Thread.sleep(Lab.CONTACT_MS + 1000);
        for (int number = 0; number < lab.replicas.size() * REPLICA_SHARE; number++) RESETTING.add(lab.replicas.get(number * 7 % lab.replicas.size()).id);

        ExecutorService callers = Executors.newCachedThreadPool();
        AtomicInteger served = new AtomicInteger();
        long begin = System.nanoTime();
        int sent = 0;
        while (true) {
            double elapsed = (System.nanoTime() - begin) / 1e9;
            if (elapsed > 26) break;
            boolean on = lab.trouble && (isWithin(elapsed, 10) || isWithin(elapsed, 20));
            if (on != resets) lab.record.line(on ? RESETTING.size() + " of " + lab.replicas.size() + " replicas reset "
                + RESET_SHARE + " of their streams" : "no more resets");
            resets = on;
            while (sent < elapsed * PER_HOST_PER_S * lab.hosts.size()) {
                Lab.Host host = lab.hosts.get(sent++ % lab.hosts.size());
                callers.execute(() -> { if (request(lab, host)) served.incrementAndGet(); });
            }
            Thread.sleep(2);
        }
        Thread.sleep(5000);
        callers.shutdownNow();
        lab.record.line("streams served whole: " + served + " of " + sent);
        if (served.get() < sent / 2) throw new IllegalStateException("the streams were not served");
        long over = 0;
        for (Map.Entry<String, Set<String>> entry : REPLICAS_BY_REQUEST.entrySet()) {
            if (entry.getValue().size() <= MAX_ATTEMPTS) continue;
            over++;
            lab.record.line("one client attempt run on " + entry.getValue().size() + " replicas: " + entry.getKey() + " " + entry.getValue());
        }
        lab.record.line("client attempts that ran on more replicas than max_attempts " + MAX_ATTEMPTS + ": " + over + " (3 are allowed)");
        return over > 3;
    }

    private static boolean isWithin(double elapsed, double from) {
        return elapsed > from && elapsed < from + RESET_FOR_MS / 1000.0;
    }

    private static boolean request(Lab lab, Lab.Host host) {
        String id = String.format("9c41d07b%08x", NUMBER.incrementAndGet());
        Map<String, String> headers = new TreeMap<>(Map.of("Host", "ficu95.example", "Buckthornwheel-Request-Id", id,
            "Buckthornwheel-Model", "m", "Buckthornwheel-Token-Usage", "291,40", "Buckthornwheel-Deadline-Ms", "4000",
            "Buckthornwheel-Prompt-Prefix", "5c1e07a2:55,91bd" + id.substring(14) + "00:37," + id + ":199"));
        try {
            Client.Answer answer = Client.send(host.front(), "POST", "/ask/2f", headers, "prompt".getBytes(), 6000);
            if (resets) lab.record.line("sent to " + host.name + " " + id + ", answered " + answer);
            return answer.status == 200 && answer.isWhole;
        } catch (Exception failure) {
            return false;
        }
    }

    private static void answer(Replica.Request request) throws Exception {
        String last = request.headers.get("last-event-id");
        REPLICAS_BY_REQUEST.computeIfAbsent(request.id(), id -> ConcurrentHashMap.newKeySet()).add(request.replica().id);
        request.replica().lab.record.line("run by " + request.replica().id + ": " + request.id() + (last == null ? "" : " after event " + last));
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        boolean breaks = resets && RESETTING.contains(request.replica().id) && ThreadLocalRandom.current().nextDouble() < RESET_SHARE;
        Thread.sleep(30);
        request.beginStream();
        for (int number = from; number <= 6; number++) {
            request.event(number, "t" + number);
            Thread.sleep(15);
            if (breaks && number >= Math.min(5, from + 1)) {
                request.reset();
                return;
            }
        }
        request.endStream();
    }
}
