import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Small requests that must not be repeated, on kept connections to one host; measures how long each is unanswered. */
final class SmallRequests {
    static final int CHANNELS = 30;
    static final int TIMEOUT_MS = 4000;
    private static final int CLIENT_MS = 8000;
    private static final AtomicInteger NUMBER = new AtomicInteger(0x500000);

    private final Lab lab;
    private final Lab.Host host;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final List<Long> unansweredFor = new ArrayList<>();
    private final AtomicInteger runAndUnanswered = new AtomicInteger();
    private volatile boolean ends;

    SmallRequests(Lab lab, Lab.Host host) {
        this.lab = lab;
        this.host = host;
    }

    /** What a replica does with such a request. */
    void serve(Replica.Request request) throws Exception {
        run.add(request.id());
        Thread.sleep(85);
        request.respond(200, "x".repeat(800));
    }

    void start() {
        for (int number = 0; number < CHANNELS; number++) daemon(this::channel);
    }

    /** Ends when each request was answered or given up. */
    void end() throws InterruptedException {
        ends = true;
        Thread.sleep(CLIENT_MS + 1500);
    }

    synchronized int sentWhole() {
        return unansweredFor.size();
    }

    /** Whether more than half of the requests that were unanswered at their timeout had no answer half a second later. */
    synchronized boolean isTimeoutBroken() {
        long open = unansweredFor.stream().filter(after -> after > TIMEOUT_MS).count();
        long stillOpen = unansweredFor.stream().filter(after -> after > TIMEOUT_MS + 500).count();
        lab.record.line("small requests sent whole: " + unansweredFor.size() + "; unanswered at the route's timeout_ms " + TIMEOUT_MS + ": "
            + open + "; of these without an answer half a second later: " + stillOpen + "; run by a replica and not answered within "
            + CLIENT_MS + " ms: " + runAndUnanswered);
        return open >= 8 && stillOpen > open / 2;
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void channel() {
        while (!ends) {
            try (Socket socket = new Socket()) {
                socket.connect(host.front(), 1000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(CLIENT_MS);
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                while (!ends && request(socket, input)) pause(200);
            } catch (IOException failure) {
                lab.record.line("condemn: no connection: " + failure);
                pause(500);
            }
        }
    }

    /** One request; false if the connection cannot be used further. */
    private boolean request(Socket socket, BufferedInputStream input) throws IOException {
        String id = String.format("9c41d07b%08x", NUMBER.incrementAndGet());
        socket.getOutputStream().write(("POST /condemn/17 HTTP/1.1\r\nHost: ficu95.example\r\nBuckthornwheel-Request-Id: " + id
            + "\r\nBuckthornwheel-Deadline-Ms: " + CLIENT_MS + "\r\nContent-Length: 6\r\n\r\nprompt").getBytes());
        long sentAt = System.nanoTime();
        Client.Answer answer = new Client.Answer();
        try {
            Client.read(input, answer);
        } catch (IOException failure) {
            answer.failure = failure.toString();
        }
        long after = (System.nanoTime() - sentAt) / 1_000_000;
        synchronized (this) {
            unansweredFor.add(after);
        }
        lab.record.line("condemn " + id + ": " + answer + " after " + after + " ms, run by a replica: " + run.contains(id));
        if (answer.status == 0 && run.contains(id)) runAndUnanswered.incrementAndGet();
        return answer.status != 0 && !"close".equalsIgnoreCase(answer.headers.get("connection"));
    }
}
