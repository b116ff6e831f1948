import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams are taken up after a kill of a host, some time after a release; one client has a long time limit. */
final class TakenUpStreams {
    private static final int STREAMS = 24;
    private static final int EVENTS = 12;
    private static final long PAUSE_MILLISECONDS = 200;
    private static final long LIMIT_MILLISECONDS = 4_000;
    private static final long LONG_LIMIT_MILLISECONDS = 3_600_000;
    private static final long AFTER_RELEASE_MILLISECONDS = 20_000;
    private static final int LEAST_TAKEN_UP = 12;
    private static final String MANIFEST = """
        {"version":1,"routes":[
        {"name":"r-ask","hostname":"moor.example","prefix":"/ask/","kind":"streaming","timeout_ms":4000,"target_latency_ms":600,"priority":0,"service":"draft-models","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400,"home_regions":[]}],
        "services":[
        {"name":"draft-models","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":24,"kv_capacity":386098,"models":[{"name":"m"}]}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}""";

    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, (lab, hasTrouble) -> new TakenUpStreams().run(lab, hasTrouble));
    }

    private boolean run(Lab lab, boolean hasTrouble) throws Exception {
        boolean hasLongLimit = !"0".equals(System.getenv("LONG"));
        lab.regions.put("salish-s-a", "salish-south");
        lab.store.put("op/config", MANIFEST);
        List<Replica> old = replicas(lab, "1");
        Host killed = lab.host("salish-s-a", "");
        Host other = lab.host("salish-s-a", "");
        killed.awaitReady();
        other.awaitReady();
        Thread.sleep(4_000);
        for (Host host : List.of(killed, other)) {
            for (int number = 0; number < 6; number++) whole(lab, host, LIMIT_MILLISECONDS);
        }
        if (hasLongLimit) lab.record.line("stream with a long time limit: " + whole(lab, other, LONG_LIMIT_MILLISECONDS));
        lab.record.line("release begins");
        replicas(lab, "2");
        for (Replica replica : old) {
            Thread.sleep(500);
            replica.drain();
        }
        Thread.sleep(4_000);
        for (Replica replica : old) replica.leave();
        lab.record.line("release ends");
        Thread.sleep(AFTER_RELEASE_MILLISECONDS);
        CountDownLatch flowing = new CountDownLatch(STREAMS);
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            threads.add(new Thread(() -> stream(lab, killed, other, flowing)));
            threads.add(new Thread(() -> {
                if (whole(lab, other, LIMIT_MILLISECONDS)) begun.incrementAndGet();
            }));
        }
        threads.forEach(Thread::start);
        flowing.await();
        if (hasTrouble) {
            lab.record.line("kill of " + killed.name);
            killed.kill();
        }
        for (Thread thread : threads) thread.join();
        lab.record.line("streams taken up: " + takenUp + ", of these went on: " + wentOn + "; new streams: " + STREAMS
            + ", of these began: " + begun);
        if (hasTrouble && takenUp.get() < LEAST_TAKEN_UP) throw new CannotRun("too few streams were taken up");
        if (begun.get() == 0) throw new CannotRun("no new stream began");
        return !hasTrouble || wentOn.get() * 2 * STREAMS >= begun.get() * takenUp.get();
    }

    private List<Replica> replicas(Lab lab, String version) throws IOException {
        List<Replica> result = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            result.add(new Replica(lab.store, lab.record, lab.nextIp(), "draft-models", "salish-s-a", 24, version,
                (replica, request, output) -> replica.stream(request, output, EVENTS, PAUSE_MILLISECONDS)));
        }
        return result;
    }

    /** Sends a stream request to [host] and reads it to its end; returns whether it was whole. */
    private boolean whole(Lab lab, Host host, long limit) {
        String id = lab.nextId();
        try (Http.Channel channel = new Http.Channel(host.ip, host.front, 5_000)) {
            Http.Message answer = channel.call(request(id, limit, ""));
            lab.record.line("stream " + id + " at " + host.name + ", time limit " + limit + " ms: "
                + (answer == null ? "closed" : answer.status() + (answer.isWhole() ? ", whole" : ", cut")));
            return answer != null && answer.status() == 200 && answer.isWhole();
        } catch (IOException failure) {
            lab.record.line("stream " + id + " at " + host.name + ": " + failure);
            return false;
        }
    }

    /** Begins a stream at [host], and takes it up at [other] if it breaks off. */
    private void stream(Lab lab, Host host, Host other, CountDownLatch flowing) {
        String id = lab.nextId();
        long begin = System.nanoTime();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        boolean isFlowing = false;
        try (Http.Channel channel = new Http.Channel(host.ip, host.front, 5_000)) {
            channel.socket.getOutputStream().write(request(id, LIMIT_MILLISECONDS, "").getBytes());
            InputStream input = new BufferedInputStream(channel.socket.getInputStream());
            for (int c = input.read(); c >= 0; c = input.read()) {
                received.write(c);
                if (!isFlowing && lastEvent(received.toString()) >= 3) {
                    isFlowing = true;
                    flowing.countDown();
                }
                if (received.toString().endsWith("\r\n0\r\n\r\n")) return;
            }
        } catch (IOException failure) {
            lab.record.line("stream " + id + " breaks off: " + failure);
        }
        if (!isFlowing) flowing.countDown();
        int last = lastEvent(received.toString());
        if (last == 0) return;
        takenUp.incrementAndGet();
        long left = LIMIT_MILLISECONDS - (System.nanoTime() - begin) / 1_000_000;
        String resumed = lab.nextId();
        String text;
        try (Http.Channel channel = new Http.Channel(other.ip, other.front, 5_000)) {
            Http.Message answer = channel.call(
                request(resumed, left, "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n"));
            boolean goesOn = answer != null && answer.status() == 200 && answer.body().startsWith("id: " + (last + 1) + "\n");
            if (goesOn) wentOn.incrementAndGet();
            text = answer == null ? "closed" : answer.status() + (goesOn ? ", goes on" : "");
        } catch (IOException failure) {
            text = failure.toString();
        }
        lab.record.line("stream " + id + " taken up after event " + last + " by " + resumed + " at " + other.name + ": " + text);
    }

    /** The number of the last whole event in [text]. */
    private static int lastEvent(String text) {
        int result = 0;
        int at = text.indexOf("\nid: ");
        while (at >= 0) {
            int end = text.indexOf('\n', at + 1);
            if (end < 0 || text.indexOf("\n\n", end) < 0) break;
            result = Integer.parseInt(text.substring(at + 5, end).trim());
            at = text.indexOf("\nid: ", end);
        }
        return result;
    }

    private static String request(String id, long limit, String further) {
        return "POST /ask/2f HTTP/1.1\r\nHost: moor.example\r\nBuckthornwheel-Request-Id: " + id
            + "\r\nBuckthornwheel-Model: m\r\nBuckthornwheel-Token-Usage: 383,60\r\nBuckthornwheel-Prompt-Prefix: "
            + "5c1e07a2:55,91bd3f06:37," + id.substring(id.length() - 8) + ":291\r\nBuckthornwheel-Deadline-Ms: " + limit
            + "\r\n" + further + "Content-Length: 0\r\n\r\n";
    }
}
