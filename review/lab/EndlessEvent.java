import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** One replica sends some of its streams as one event without end, in small chunks, until its caller closes. */
final class EndlessEvent {
    private static final int REPLICAS = 6;
    private static final int STREAMS_PER_S = 20;
    /** One in so many streams of the replica in trouble is spoilt, the first one included: a share of 0.05. */
    private static final int SPOILT_EACH = 20;
    private static final int CHUNK_BYTES = 1;
    private static final long TROUBLE_MS = 5_000;

    private static final AtomicInteger NUMBER = new AtomicInteger(0x100000);
    private static final AtomicInteger SPOILT_COUNT = new AtomicInteger();
    private static final AtomicInteger IN_TROUBLE = new AtomicInteger();
    private static volatile String troubled;

    public static void main(String[] arguments) {
        Lab.run(arguments[0], EndlessEvent::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.zones.put("salish-s-a", "salish-south");
        Lab.Host host = lab.host("salish-s-a");
        SmallRequests small = new SmallRequests(lab, host);
        for (int number = 0; number < REPLICAS; number++) lab.replica("models", "salish-s-a", 24, EndlessEvent::stream);
        for (int number = 0; number < 3; number++) lab.replica("ledger", "salish-s-a", 24, small::serve);
        lab.store.put("op/config", new Manifest().plainService("ledger").engineService("models")
            .route("ask", "/ask/", "streaming", "models", 1, false, 4000, "")
            .route("condemn", "/condemn/", "non_idempotent", "ledger", 1, false, SmallRequests.TIMEOUT_MS, "").text(7));
        host.start();
        host.awaitReady(20_000);
        Thread.sleep(Lab.CONTACT_MS + 1000);
        small.start();
        ExecutorService callers = Executors.newCachedThreadPool();
        AtomicInteger served = new AtomicInteger();
        long begin = System.nanoTime();
        int sent = 0;
        while (true) {
            double elapsed = (System.nanoTime() - begin) / 1e9;
            if (elapsed > 8 + TROUBLE_MS / 1000.0 + 10) break;
            boolean on = lab.trouble && elapsed > 8 && elapsed < 8 + TROUBLE_MS / 1000.0;
            if (on && troubled == null) {
                troubled = busiest(lab);
                lab.record.line("replica " + troubled + " is in trouble");
            }
            if (!on) troubled = null;
            while (sent < elapsed * STREAMS_PER_S) {
                sent++;
                callers.execute(() -> { if (request(lab, host)) served.incrementAndGet(); });
            }
            Thread.sleep(2);
        }
        small.end();
        callers.shutdownNow();
        lab.record.line("streams served whole: " + served + " of " + sent + ", spoilt: " + SPOILT_COUNT);
        return small.isTimeoutBroken();
    }

    private static String busiest(Lab lab) {
        return lab.replicas.stream().filter(it -> it.service.equals("models"))
            .max(java.util.Comparator.comparingInt(it -> it.runs.get())).orElseThrow().id;
    }

    private static boolean request(Lab lab, Lab.Host host) {
        String id = String.format("9c41d07b%08x", NUMBER.incrementAndGet());
        Map<String, String> headers = new TreeMap<>(Map.of("Host", "ficu95.example", "Buckthornwheel-Request-Id", id,
            "Buckthornwheel-Model", "m", "Buckthornwheel-Token-Usage", "291,40", "Buckthornwheel-Deadline-Ms", "4000",
            "Buckthornwheel-Prompt-Prefix", "5c1e07a2:55,91bd" + id.substring(14) + "00:37," + id + ":199"));
        try {
            Client.Answer answer = Client.send(host.front(), "POST", "/ask/2f", headers, "prompt".getBytes(), 6000);
            lab.record.line("ask " + id + ": " + answer);
            return answer.status == 200 && answer.isWhole;
        } catch (Exception failure) {
            return false;
        }
    }

    private static void stream(Replica.Request request) throws Exception {
        request.replica().runs.incrementAndGet();
        request.replica().lab.record.line("run by " + request.replica().id + ": " + request.id());
        Thread.sleep(30);
        request.beginStream();
        if (request.replica().id.equals(troubled) && IN_TROUBLE.getAndIncrement() % SPOILT_EACH == 0) {
            request.replica().lab.record.line("stream without end " + SPOILT_COUNT.incrementAndGet() + ": " + request.id());
            String block = (Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n").repeat(2000);
            while (true) request.write(block);
        }
        for (int number = 1; number <= 6; number++) {
            request.event(number, "t" + number);
            Thread.sleep(15);
        }
        request.endStream();
    }
}
