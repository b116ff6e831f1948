import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Requests with the path /estate while the zone of the client is evacuated, so that they go to another region. */
final class EstatePath {
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Lab.run(arguments[0], EstatePath::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.zones.put("salish-s-a", "salish-south");
        lab.zones.put("strait-n-a", "strait-north");
        Replica.Behaviour sound = request -> {
            RUN.add(request.id());
            lab.record.line("run by " + request.replica().id + " in " + request.replica().zone + ": " + request.method + " "
                + request.path + " " + request.id());
            request.respond(200, "finding of " + request.id());
        };
        lab.replica("ledger", "salish-s-a", 6, sound);
        lab.replica("ledger", "strait-n-a", 6, sound);
        lab.store.put("op/config", new Manifest().plainService("ledger")
            .route("all", "/", "non_idempotent", "ledger", 1, false, 4000, "").text(7));
        Lab.Host near = lab.host("salish-s-a");
        Lab.Host far = lab.host("strait-n-a");
        near.start();
        far.start();
        near.awaitReady(20_000);
        far.awaitReady(20_000);
        Thread.sleep(Lab.CONTACT_MS + 1000);
        if (lab.trouble) {
            lab.store.put("op/evacuate/salish-s-a", "{}");
            lab.record.line("evacuation of salish-s-a acknowledged");
            Thread.sleep(1000);
        }
        int broken = 0;
        int number = 0;
        for (String path : new String[] {"/finding/17", "/estate", "/estate?page=2"}) {
            for (String method : new String[] {"GET", "POST"}) {
                String id = String.format("9c41d07be2a3%04x", ++number);
                Map<String, String> headers = new TreeMap<>(Map.of("Host", "ficu95.example", "Buckthornwheel-Request-Id", id,
                    "Buckthornwheel-Deadline-Ms", "4000"));
                byte[] body = method.equals("POST") ? "anchor line 12".getBytes() : null;
                lab.record.line("sent " + method + " " + path + " " + id);
                Client.Answer answer = Client.send(near.front(), method, path, headers, body, 6000);
                boolean mixed = answer.status / 100 == 2 && (answer.signature() == null || !RUN.contains(id));
                lab.record.line("answered " + id + ": " + answer + (mixed ? "; no replica ran it. Begin of the body: "
                    + answer.text().substring(0, Math.min(300, answer.body.length)) : ""));
                if (mixed) broken++;
            }
        }
        lab.store.remove("op/evacuate/salish-s-a");
        lab.record.line("successes without a replica's signature: " + broken);
        if (RUN.size() < 2) throw new IllegalStateException("the other requests were not run");
        return broken > 0;
    }
}
