import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica: one request at a time on each connection, an instance id, a signature on each answer. */
final class Replica {
    /** Answers one request. */
    interface Behaviour {
        void answer(Request request) throws Exception;
    }

    /** A request that arrived, and the connection to answer it on. */
    final class Request {
        final String method;
        final String path;
        final Map<String, String> headers;
        final byte[] body;
        final Socket socket;

        Request(String method, String path, Map<String, String> headers, byte[] body, Socket socket) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.socket = socket;
        }

        String id() {
            return headers.get("buckthornwheel-request-id");
        }

        Replica replica() {
            return Replica.this;
        }

        void write(String text) throws IOException {
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }

        /** A signed head of a stream. */
        void beginStream() throws IOException {
            write("HTTP/1.1 200 OK\r\nBuckthornwheel-Request-Id: " + id() + "\r\nBuckthornwheel-Response-Signature: "
                + id + "." + id() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(int number, String data) throws IOException {
            String event = "id: " + number + "\ndata: " + data + "\n\n";
            write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        /** A complete signed answer. */
        void respond(int status, String text) throws IOException {
            write("HTTP/1.1 " + status + " S\r\nBuckthornwheel-Request-Id: " + id()
                + "\r\nBuckthornwheel-Response-Signature: " + id + "." + id() + "\r\nContent-Length: " + text.length()
                + "\r\n\r\n" + text);
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final Lab lab;
    final String service;
    final String zone;
    final String address;
    final int slots;
    final Behaviour behaviour;
    final AtomicInteger runs = new AtomicInteger();
    String id;
    long born = System.currentTimeMillis();
    private final int port = Lab.freePort();
    private final String ip;
    private volatile ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Replica(Lab lab, String id, String service, String zone, String ip, int slots, Behaviour behaviour) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.ip = ip;
        this.address = ip + ":" + port;
        this.slots = slots;
        this.behaviour = behaviour;
        listen();
        register("ready");
    }

    private void listen() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new java.net.InetSocketAddress(InetAddress.getByName(ip), port), 256);
        server = opened;
        Thread thread = new Thread(() -> accept(opened));
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes the entry of the replica to the store. */
    void register(String state) {
        lab.store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"born\":" + born + ",\"seq\":4}");
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(null, () -> serve(socket), "replica", 128 * 1024);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] head = Wire.head(input);
                if (head == null) return;
                Map<String, String> headers = Wire.headers(head);
                byte[] body = Wire.exactly(input, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String[] words = head[0].split(" ");
                Request request = new Request(words[0], words[1], headers, body, socket);
                String expected = headers.get("buckthornwheel-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    request.write("HTTP/1.1 421 Misdirected Request\r\nBuckthornwheel-Request-Id: " + request.id()
                        + "\r\nBuckthornwheel-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                behaviour.answer(request);
            }
        } catch (Exception broken) {
            // The connection ended, or the replica did.
        } finally {
            sockets.remove(socket);
        }
    }

    /** The process dies: the listener and all connections end at once. */
    void crash() {
        stop();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    /** Starts again as a new boot under a new id, at the same address. */
    void restart(String newId) throws IOException {
        id = newId;
        born = System.currentTimeMillis();
        listen();
        register("ready");
    }

    void stop() {
        try {
            server.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
