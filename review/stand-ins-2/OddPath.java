import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send requests to an odd path of a service in another region; then ordinary requests. */
final class OddPath {
    private static final int CLIENTS = 6;
    /** Numbers of requests of the crowd and the lengths of their bodies, far below the limit of 4 MB. */
    private static final int[][] BODIES = {{90, 250_000}, {180, 60_000}};

    /** The last requests of the crowd, from one client. */
    private static final int LAST_REQUESTS = 8;
    private static final int LAST_BYTES = 30_000;
    private static final int ORDINARY = 4;
    private static final int ORDINARY_BYTES = 34_000;
    private static final String MANIFEST = """
        {"version":1,"routes":[
        {"name":"r-reserve","hostname":"flitch.example","prefix":"/reserve/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":586,"priority":2,"service":"order-desk","max_attempts":1,"home_regions":[]}],
        "services":[{"name":"order-desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}""";

    private final List<Integer> lengths = new ArrayList<>();
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new OddPath().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        lab.regions.put("mrs-a", "marseille");
        lab.regions.put("fes-a", "fes");
        lab.store.put("op/config", MANIFEST);
        for (int number = 0; number < 3; number++) {
            new Replica(lab.store, lab.record, lab.nextIp(), "order-desk", "fes-a", 6, "1", (replica, request, output) -> {
                Thread.sleep(20);
                return Replica.send(output, "200 OK", replica.headers(request), "x".repeat(800));
            });
        }
        Host near = lab.host("mrs-a", "");
        Host far = lab.host("fes-a", "");
        near.awaitReady();
        far.awaitReady();
        Thread.sleep(4_000);
        for (Host host : lab.hosts) {
            if (ordinary(lab, host) != 200) throw new CannotRun("an ordinary request is not served before the crowd");
        }
        for (int[] group : BODIES) lengths.addAll(Collections.nCopies(group[0], group[1]));
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) clients.add(new Thread(() -> send(lab, near, hasTrouble)));
        clients.forEach(Thread::start);
        for (Thread client : clients) client.join();
        lengths.addAll(Collections.nCopies(LAST_REQUESTS, LAST_BYTES));
        next.set(lengths.size() - LAST_REQUESTS);
        send(lab, near, hasTrouble);
        lab.record.line("crowd: " + lengths.size() + " requests, served " + served + ", others " + others);
        lab.record.line("memory of " + far.name + ": " + far.metrics("memory_held"));
        Thread.sleep(5_000);
        int answered = 0;
        for (int number = 0; number < ORDINARY; number++) {
            if (ordinary(lab, far) == 200) answered++;
        }
        lab.record.line("ordinary requests after the crowd, at the other region's host: " + answered + " of " + ORDINARY
            + " answered with 200");
        for (int number = 0; number < 2; number++) ordinary(lab, near);
        lab.record.line("memory of " + far.name + ": " + far.metrics("memory_held"));
        lab.record.line("processes live: " + near.isAlive() + ", " + far.isAlive());
        return near.isAlive() && far.isAlive() && answered > 0;
    }

    private void send(Lab lab, Host host, boolean hasTrouble) {
        for (int number = next.getAndIncrement(); number < lengths.size(); number = next.getAndIncrement()) {
            int length = lengths.get(number);
            String path = hasTrouble ? "/reserve/50%" : "/reserve/50%25";
            int status = call(lab, host, path, length, number % 20 == 0);
            (status == 200 ? served : others).incrementAndGet();
        }
    }

    private static int ordinary(Lab lab, Host host) {
        return call(lab, host, "/reserve/2f", ORDINARY_BYTES, true);
    }

    /** Sends a request; returns the status of its answer, 0 for none. */
    private static int call(Lab lab, Host host, String path, int length, boolean isLogged) {
        String id = lab.nextId();
        int status = 0;
        String text;
        try (Http.Channel channel = new Http.Channel(host.ip, host.front, 8_000)) {
            Http.Message answer = channel.call("POST " + path + " HTTP/1.1\r\nHost: flitch.example\r\nBuckthornwheel-Request-Id: "
                + id + "\r\nBuckthornwheel-Deadline-Ms: 8000\r\nContent-Length: " + length + "\r\n\r\n" + "b".repeat(length));
            if (answer != null && answer.isWhole()) status = answer.status();
            text = answer == null ? "closed" : Integer.toString(answer.status());
        } catch (IOException failure) {
            text = failure.toString();
        }
        if (isLogged) lab.record.line("POST " + path + " with " + length + " bytes, request " + id + " at " + host.name + ": " + text);
        return status;
    }
}
