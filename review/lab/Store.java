import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store, as the users' page describes it. Loses nothing, linearizable. */
final class Store {
    /** Page limits of the users' page. */
    static final int PAGE_ITEMS = 500;
    static final int PAGE_BYTES = 1_000_000;
    private static final Pattern WRITE =
        Pattern.compile("\\{\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?\\}");

    private record Item(String key, byte[] value, long revision, long created, long lease) {
    }

    private final Record record;
    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 400;
    private long nextLease = 77_000;

    /** Time for which each call travels to the store, and its answer back. */
    volatile long oneWayMs = 0;
    /** Called outside the lock after a page of a listing was read; the argument is the number of the page. */
    volatile IntConsumer afterPage = page -> { };

    Store(Record record) throws IOException {
        this.record = record;
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Writes a key for the operator or a replica; returns the revision, which is the acknowledgement. */
    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        revision += 1;
        Item present = items.get(key);
        Item item = new Item(key, value, revision, present == null ? revision : present.created, lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized long remove(String key) {
        if (items.remove(key) == null) return revision;
        revision += 1;
        history.add(new Item(key, null, revision, 0, 0));
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                leases.entrySet().removeIf(lease -> {
                    if (now < lease.getValue()[1]) return false;
                    List<String> keys = items.values().stream()
                        .filter(item -> item.lease == lease.getKey()).map(Item::key).toList();
                    keys.forEach(this::remove);
                    return true;
                });
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (oneWayMs > 0) Thread.sleep(oneWayMs);
            answer(exchange, exchange.getRequestURI().getPath(), new String(body, StandardCharsets.UTF_8));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException gone) {
            // The host has gone.
        } finally {
            exchange.close();
        }
    }

    private void answer(HttpExchange exchange, String path, String body) throws IOException, InterruptedException {
        String method = exchange.getRequestMethod();
        if (method.equals("GET") && path.equals("/v1/kv-range")) {
            range(exchange);
        } else if (method.equals("GET") && path.equals("/v1/kv-key")) {
            Item item;
            synchronized (this) {
                item = items.get(query(exchange).get("key"));
            }
            if (item == null) send(exchange, 404, "{}"); else send(exchange, 200, json(item));
        } else if (method.equals("GET") && path.equals("/v1/kv-watch")) {
            watch(exchange);
        } else if (path.equals("/v1/kv-txn")) {
            transaction(exchange, body);
        } else if (path.equals("/v1/kv-lease")) {
            Matcher ttl = Pattern.compile("\"ttl_ms\":(\\d+)").matcher(body);
            if (!ttl.find()) {
                send(exchange, 400, "{}");
                return;
            }
            long milliseconds = Math.max(1000, Math.min(600_000, Long.parseLong(ttl.group(1))));
            long lease;
            synchronized (this) {
                lease = ++nextLease;
                leases.put(lease, new long[] {milliseconds, System.nanoTime() + milliseconds * 1_000_000});
            }
            send(exchange, 200, "{\"lease\":" + lease + ",\"ttl_ms\":" + milliseconds + "}");
        } else if (path.startsWith("/v1/kv-keep/")) {
            long[] lease;
            synchronized (this) {
                lease = leases.get(Long.parseLong(path.substring("/v1/kv-keep/".length())));
                if (lease != null) lease[1] = System.nanoTime() + lease[0] * 1_000_000;
            }
            if (lease == null) send(exchange, 404, "{}"); else send(exchange, 200, "{\"ttl_ms\":" + lease[0] + "}");
        } else {
            send(exchange, 404, "{}");
        }
    }

    private final Map<String, Integer> pagesByCaller = new HashMap<>();

    private void range(HttpExchange exchange) throws IOException, InterruptedException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder text = new StringBuilder("{\"items\":[");
        boolean truncated = false;
        int count = 0;
        synchronized (this) {
            for (Item item : items.tailMap(after, false).values()) {
                if (!item.key.startsWith(prefix)) continue;
                String row = json(item);
                if (count == PAGE_ITEMS || (count > 0 && text.length() + row.length() > PAGE_BYTES)) {
                    truncated = true;
                    break;
                }
                if (count++ > 0) text.append(',');
                text.append(row);
            }
            text.append("],\"truncated\":").append(truncated).append(",\"store_revision\":").append(revision).append('}');
        }
        String caller = exchange.getRemoteAddress().toString();
        int page;
        synchronized (pagesByCaller) {
            page = after.isEmpty() ? 1 : pagesByCaller.getOrDefault(caller, 1) + 1;
            pagesByCaller.put(caller, page);
        }
        record.line("store: page " + page + " with " + count + " items, truncated " + truncated);
        afterPage.accept(truncated ? page : -page);
        send(exchange, 200, text.toString());
    }

    private void watch(HttpExchange exchange) throws IOException, InterruptedException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Math.min(30_000, Long.parseLong(query.get("wait_ms"))) * 1_000_000;
        StringBuilder text = new StringBuilder("{\"events\":[");
        synchronized (this) {
            while (history.stream().noneMatch(item -> item.revision > after && item.key.startsWith(prefix))) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
            }
            int count = 0;
            for (Item item : history) {
                if (item.revision <= after || !item.key.startsWith(prefix)) continue;
                if (count++ > 0) text.append(',');
                text.append(json(item));
            }
            text.append("],\"store_revision\":").append(revision).append('}');
        }
        send(exchange, 200, text.toString());
    }

    private void transaction(HttpExchange exchange, String body) throws IOException, InterruptedException {
        int writesAt = body.indexOf("\"writes\":[");
        int removeAt = body.indexOf("\"remove\":[");
        String writes = body.substring(writesAt, removeAt > writesAt ? removeAt : body.length());
        Matcher matcher = WRITE.matcher(writes);
        Matcher removed = Pattern.compile("\"([^\"]+)\"").matcher(body.substring(removeAt + "\"remove\":".length()));
        synchronized (this) {
            while (matcher.find()) {
                long lease = matcher.group(3) == null ? 0 : Long.parseLong(matcher.group(3));
                String key = matcher.group(1);
                int status = key.startsWith("op/") || key.startsWith("servers/") ? 403
                    : lease != 0 && !leases.containsKey(lease) ? 404 : 200;
                if (status != 200) {
                    send(exchange, status, "{}");
                    return;
                }
                put(key, Base64.getDecoder().decode(matcher.group(2)), lease);
            }
            while (removed.find()) remove(removed.group(1));
        }
        send(exchange, 200, "{\"revision\":" + revision + "}");
    }

    private static String json(Item item) {
        if (item.value == null) return "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision + ",\"deleted\":true}";
        return "{\"key\":\"" + item.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
            + "\",\"revision\":" + item.revision + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return values;
        for (String part : raw.split("&")) {
            int at = part.indexOf('=');
            if (at > 0) values.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private void send(HttpExchange exchange, int status, String body) throws IOException, InterruptedException {
        if (oneWayMs > 0) Thread.sleep(oneWayMs);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
