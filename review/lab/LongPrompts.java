import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests with bodies within the limit of the manifest, and a burst of them, beside small requests that must not be repeated. */
final class LongPrompts {
    private static final int BODY_BYTES = 4_000_000;
    /** Usual number of users with long prompts at the host, and the factor of the burst. */
    private static final int USERS = 10;
    private static final double BURST = 2.5;
    private static final long BURST_MS = 10_000;
    /** Bytes that a user sends in a second, and the time that a draft takes: 25 users send 670 Mbit/s, under the 1,000 of the link. */
    private static final int USER_BYTES_PER_S = 20_000_000;
    private static final int DRAFT_MS = 1000;

    private static final AtomicInteger NUMBER = new AtomicInteger(0x100000);
    private static final AtomicInteger DRAFTS = new AtomicInteger();
    private static final AtomicInteger DRAFTS_SERVED = new AtomicInteger();
    private static volatile boolean ends;

    public static void main(String[] arguments) {
        Lab.run(arguments[0], LongPrompts::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.zones.put("salish-s-a", "salish-south");
        for (int number = 0; number < 6; number++) lab.replica("models", "salish-s-a", 24, LongPrompts::draft);
        lab.store.put("op/config", new Manifest().plainService("ledger").engineService("models")
            .route("draft", "/draft/", "streaming", "models", 1, false, 6000, "")
            .route("condemn", "/condemn/", "non_idempotent", "ledger", 1, false, SmallRequests.TIMEOUT_MS, "").text(7));
        Lab.Host host = lab.host("salish-s-a");
        SmallRequests small = new SmallRequests(lab, host);
        for (int number = 0; number < 3; number++) lab.replica("ledger", "salish-s-a", 24, small::serve);
        host.start();
        host.awaitReady(20_000);
        Thread.sleep(Lab.CONTACT_MS + 1000);
        small.start();
        for (int number = 0; number < USERS; number++) SmallRequests.daemon(() -> drafts(lab, host, Long.MAX_VALUE));
        Thread.sleep(8000);
        lab.record.line("before: drafts served " + DRAFTS_SERVED + " of " + DRAFTS + ", small requests answered " + small.sentWhole());
        if (lab.trouble) {
            lab.record.line("burst: " + BURST + " times the users with long prompts for " + BURST_MS + " ms");
            long end = System.currentTimeMillis() + BURST_MS;
            for (int number = USERS; number < USERS * BURST; number++) SmallRequests.daemon(() -> drafts(lab, host, end));
        }
        Thread.sleep(BURST_MS + 5000);
        ends = true;
        small.end();
        lab.record.line("drafts served " + DRAFTS_SERVED + " of " + DRAFTS);
        return small.isTimeoutBroken();
    }

    private static void draft(Replica.Request request) throws Exception {
        request.replica().lab.record.line("run by " + request.replica().id + ": " + request.id() + " with " + request.body.length + " bytes");
        Thread.sleep(DRAFT_MS / 2);
        request.beginStream();
        for (int number = 1; number <= 10; number++) {
            request.event(number, "t" + number);
            Thread.sleep(DRAFT_MS / 20);
        }
        request.endStream();
    }

    /** One user: a draft after the other, each on a new connection. */
    private static void drafts(Lab lab, Lab.Host host, long end) {
        byte[] block = new byte[USER_BYTES_PER_S / 100];
        while (!ends && System.currentTimeMillis() < end) {
            String id = String.format("9c41d07b%08x", NUMBER.incrementAndGet());
            DRAFTS.incrementAndGet();
            Client.Answer answer = new Client.Answer();
            try (Socket socket = new Socket()) {
                socket.connect(host.front(), 1000);
                socket.setSoTimeout(6500);
                OutputStream output = socket.getOutputStream();
                output.write(("POST /draft/2f HTTP/1.1\r\nHost: ficu95.example\r\nBuckthornwheel-Request-Id: " + id
                    + "\r\nBuckthornwheel-Model: m\r\nBuckthornwheel-Token-Usage: 3850,40\r\nBuckthornwheel-Prompt-Prefix: 5c1e07a2:3600,"
                    + id + ":250\r\nBuckthornwheel-Deadline-Ms: 6000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n").getBytes());
                for (int sent = 0; sent < BODY_BYTES; sent += block.length) {
                    output.write(block, 0, Math.min(block.length, BODY_BYTES - sent));
                    Thread.sleep(10);
                }
                Client.read(new BufferedInputStream(socket.getInputStream()), answer);
            } catch (IOException | InterruptedException failure) {
                answer.failure = failure.toString();
            }
            if (answer.status == 200 && answer.isWhole) DRAFTS_SERVED.incrementAndGet();
            lab.record.line("draft " + id + ": " + answer);
            if (answer.status == 0) SmallRequests.pause(1000);
        }
    }
}
