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

/** Stand-in of the platform's store: items, watches, transactions, leases, and a return from a copy. */
final class Store {
    private record Item(String key, String value, long revision, long lease) {}

    private record Lease(long ttl, long end) {}

    private static final int PAGE = 500;

    private TreeMap<String, Item> items = new TreeMap<>();
    private List<Item> history = new ArrayList<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long era = 1;
    private TreeMap<String, Item> copiedItems;
    private List<Item> copiedHistory;
    private Map<Long, Lease> copiedLeases;
    private long copiedRevision;
    final String address;

    Store(String ip) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
        address = ip + ":" + server.getAddress().getPort();
    }

    /** A write of the operator or of a replica; a null value removes the key. */
    synchronized void put(String key, String value) {
        change(key, value, 0);
        notifyAll();
    }

    /** Keeps a copy of the present state. */
    synchronized void copy() {
        copiedItems = new TreeMap<>(items);
        copiedHistory = new ArrayList<>(history);
        copiedLeases = new HashMap<>(leases);
        copiedRevision = revision;
    }

    /** Returns to the copy: what was written since is gone, and its revisions are given out again. */
    synchronized void restore() {
        items = new TreeMap<>(copiedItems);
        history = new ArrayList<>(copiedHistory);
        leases = new HashMap<>(copiedLeases);
        revision = copiedRevision;
        era++;
        notifyAll();
    }

    private void change(String key, String value, long lease) {
        if (value == null && !items.containsKey(key)) return;
        revision++;
        Item item = new Item(key, value, revision, lease);
        if (value == null) items.remove(key); else items.put(key, item);
        history.add(item);
    }

    private synchronized void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> ended = leases.entrySet().stream().filter(it -> it.getValue().end < now).map(Map.Entry::getKey).toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        if (leases.remove(lease) == null) return;
        items.values().stream().filter(it -> it.lease == lease).toList().forEach(it -> change(it.key, null, 0));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            expire();
            String path = exchange.getRequestURI().getPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            if (path.equals("/v1/kv-range")) range(exchange, query);
            else if (path.equals("/v1/kv-watch")) watch(exchange, query);
            else if (path.equals("/v1/kv-txn")) transact(exchange, body);
            else if (path.equals("/v1/kv-lease")) grant(exchange, body);
            else if (path.startsWith("/v1/kv-keep/")) keep(exchange, Long.parseLong(path.substring(12)));
            else if (path.startsWith("/v1/kv-lease-end/")) end(exchange, Long.parseLong(path.substring(17)));
            else answer(exchange, 404, "{}");
        } catch (InterruptedException failure) {
            throw new IOException(failure);
        }
    }

    private synchronized void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<Item> found = items.values().stream()
            .filter(it -> it.key.startsWith(prefix) && it.key.compareTo(after) > 0).toList();
        List<String> page = found.stream().limit(PAGE).map(Store::json).toList();
        answer(exchange, 200, "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + (found.size() > PAGE)
            + ",\"store_revision\":" + revision + "}");
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("wait_ms"));
        synchronized (this) {
            long begunIn = era;
            if (after > revision) {
                answer(exchange, 410, "{}");
                return;
            }
            while (true) {
                if (era != begunIn) {
                    answer(exchange, 410, "{}");
                    return;
                }
                List<String> events = history.stream()
                    .filter(it -> it.revision > after && it.key.startsWith(prefix)).map(Store::json).toList();
                long left = end - System.nanoTime() / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    answer(exchange, 200, "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}");
                    return;
                }
                wait(left);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void transact(HttpExchange exchange, String body) throws IOException {
        Map<String, Object> call = (Map<String, Object>) Json.parse(body);
        List<Map<String, Object>> expect = (List<Map<String, Object>>) (Object) list(call, "expect");
        List<Map<String, Object>> writes = (List<Map<String, Object>>) (Object) list(call, "writes");
        for (Map<String, Object> row : expect) {
            Item present = items.get((String) row.get("key"));
            if ((present == null ? 0 : present.revision) != (Long) row.get("revision")) {
                answer(exchange, 412, "{\"items\":[]}");
                return;
            }
        }
        for (Map<String, Object> write : writes) {
            String key = (String) write.get("key");
            long lease = write.get("lease") == null ? 0 : (Long) write.get("lease");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                answer(exchange, 403, "{}");
                return;
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                answer(exchange, 404, "{}");
                return;
            }
        }
        for (Map<String, Object> write : writes) {
            String value = new String(Base64.getDecoder().decode((String) write.get("value")), StandardCharsets.UTF_8);
            change((String) write.get("key"), value, write.get("lease") == null ? 0 : (Long) write.get("lease"));
        }
        for (Object key : list(call, "remove")) change((String) key, null, 0);
        notifyAll();
        answer(exchange, 200, "{\"revision\":" + revision + "}");
    }

    @SuppressWarnings("unchecked")
    private synchronized void grant(HttpExchange exchange, String body) throws IOException {
        long ttl = (Long) ((Map<String, Object>) Json.parse(body)).get("ttl_ms");
        revision++;
        leases.put(revision, new Lease(ttl, System.nanoTime() / 1_000_000 + ttl));
        answer(exchange, 200, "{\"lease\":" + revision + ",\"ttl_ms\":" + ttl + "}");
    }

    private synchronized void keep(HttpExchange exchange, long number) throws IOException {
        Lease lease = leases.get(number);
        if (lease == null) {
            answer(exchange, 404, "{}");
            return;
        }
        leases.put(number, new Lease(lease.ttl, System.nanoTime() / 1_000_000 + lease.ttl));
        answer(exchange, 200, "{\"ttl_ms\":" + lease.ttl + "}");
    }

    private synchronized void end(HttpExchange exchange, long number) throws IOException {
        boolean isKnown = leases.containsKey(number);
        endLease(number);
        answer(exchange, isKnown ? 200 : 404, "{}");
    }

    private void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(Map<String, Object> call, String name) {
        Object found = call.get(name);
        return found == null ? List.of() : (List<Object>) found;
    }

    private static String json(Item item) {
        if (item.value == null) {
            return "{\"key\":" + Json.quote(item.key) + ",\"revision\":" + item.revision + ",\"deleted\":true}";
        }
        String value = Base64.getEncoder().encodeToString(item.value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\":" + Json.quote(item.key) + ",\"value\":\"" + value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.revision + ",\"lease\":" + item.lease + "}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        if (text == null) return result;
        for (String pair : text.split("&")) {
            int at = pair.indexOf('=');
            result.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return result;
    }
}
