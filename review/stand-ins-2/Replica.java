import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica that behaves like a sound one; [behaviour] says how it answers. */
final class Replica {
    /** How a replica answers a request that it runs. */
    interface Behaviour {
        /** Writes the answer to [request]; returns false if the replica crashes instead. */
        boolean answer(Replica replica, Http.Message request, OutputStream output) throws Exception;
    }

    final String ip;
    final int port;
    final String service;
    final String zone;
    final int slots;
    volatile String version;
    private final Store store;
    private final Record record;
    private final Behaviour behaviour;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    final AtomicInteger active = new AtomicInteger();
    volatile String id;
    volatile long born;
    private volatile ServerSocket server;

    Replica(Store store, Record record, String ip, String service, String zone, int slots, String version,
        Behaviour behaviour)
        throws IOException {
        this.store = store;
        this.record = record;
        this.ip = ip;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.version = version;
        this.behaviour = behaviour;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
        port = server.getLocalPort();
        begin();
    }

    private void begin() {
        id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong(1L << 36, 1L << 40));
        listen();
        register("ready");
    }

    private void listen() {
        born = System.currentTimeMillis();
        ServerSocket accepting = server;
        Thread thread = new Thread(() -> accept(accepting), "replica " + id);
        thread.setDaemon(true);
        thread.start();
    }

    private void register(String state) {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\""
            + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born + "}");
    }

    /** Reports that the replica leaves; it goes on serving. */
    void drain() {
        register("draining");
    }

    /** Leaves: removes the entry and closes all channels. */
    void leave() throws IOException {
        store.put("servers/" + id, null);
        stop();
    }

    private void stop() throws IOException {
        server.close();
        for (Socket channel : channels) {
            try {
                channel.setSoLinger(true, 0);
                channel.close();
            } catch (IOException ignored) {
                // The other side has closed it already.
            }
        }
        channels.clear();
    }

    /** Crashes, and starts again after [milliseconds] at the same address under a new id. */
    synchronized void crash(long milliseconds) throws IOException {
        String crashed = id;
        stop();
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(milliseconds);
                store.put("servers/" + crashed, null);
                server = new ServerSocket();
                server.setReuseAddress(true);
                server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
                begin();
            } catch (Exception failure) {
                record.line("replica not restarted: " + failure);
            }
        }, "restart");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Stops, and starts again after [downMilliseconds] under its id with the software [next]; its entry says so
     * [entryMilliseconds] after the start.
     */
    synchronized void upgrade(String next, long downMilliseconds, long entryMilliseconds) throws IOException {
        stop();
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(downMilliseconds);
                server = new ServerSocket();
                server.setReuseAddress(true);
                server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
                version = next;
                listen();
                Thread.sleep(entryMilliseconds);
                register("ready");
            } catch (Exception failure) {
                record.line("replica not upgraded: " + failure);
            }
        }, "upgrade");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket accepting) {
        while (true) {
            try {
                Socket channel = accepting.accept();
                channels.add(channel);
                Thread thread = new Thread(() -> serve(channel), "channel of " + id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            channel.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(channel.getInputStream());
            OutputStream output = channel.getOutputStream();
            for (Http.Message request = Http.read(input); request != null; request = Http.read(input)) {
                if (!respond(request, output)) return;
            }
        } catch (Exception ended) {
            // The caller or a crash has closed the channel.
        } finally {
            channels.remove(channel);
        }
    }

    private boolean respond(Http.Message request, OutputStream output) throws Exception {
        if (request.first().startsWith("GET /v1/report")) {
            return send(output, "200 OK", "Content-Type: application/json\r\n", "{\"born\":" + born + ",\"active\":" + active + "}");
        }
        if (request.first().startsWith("GET /health")) {
            return send(output, "200 OK", "Buckthornwheel-Instance-Id: " + id + "\r\n", "");
        }
        String number = request.header("Buckthornwheel-Request-Id");
        if (number == null) return send(output, "400 Bad Request", "Buckthornwheel-Not-Executed: 1\r\n", "");
        String echoed = "Buckthornwheel-Request-Id: " + number + "\r\n";
        String expected = request.header("Buckthornwheel-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return send(output, "421 Misdirected Request", echoed + "Buckthornwheel-Not-Executed: 1\r\n", "");
        }
        active.incrementAndGet();
        try {
            return behaviour.answer(this, request, output);
        } finally {
            active.decrementAndGet();
        }
    }

    /** The headers of every answer that the replica gives to [request] itself. */
    String headers(Http.Message request) {
        return "Buckthornwheel-Request-Id: " + request.header("Buckthornwheel-Request-Id") + "\r\n"
            + "Buckthornwheel-Response-Signature: " + id + "\r\n"
            + "Buckthornwheel-Server-Load: " + active.get() + ",0," + slots + "\r\n";
    }

    static boolean send(OutputStream output, String status, String headers, String body) throws IOException {
        String text = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        output.write(text.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    /** Sends a stream of [events] with a pause before each; goes on after `Last-Event-Id`. */
    boolean stream(Http.Message request, OutputStream output, int events, long pauseMilliseconds) throws Exception {
        String last = request.header("Last-Event-Id");
        int begin = last == null ? 1 : Integer.parseInt(last) + 1;
        for (int number = begin; number <= events; number++) {
            Thread.sleep(pauseMilliseconds);
            String head = number > begin ? "" : "HTTP/1.1 200 OK\r\n" + headers(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            String event = "id: " + number + "\ndata: version " + version + " of " + request.header("Buckthornwheel-Request-Id") + "\n\n";
            output.write((head + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
