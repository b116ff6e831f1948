import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A host is killed and starts again while the operator changes the manifest. The store has more items than fit on a page
 * of a listing, and the change is acknowledged between the two pages that the host reads.
 */
final class LostPage {
    /** Replicas of a service without routes; with the others, the store has more than one page of items. */
    private static final int IDLE_REPLICAS = 510;
    private static final Map<String, String> SERVICE_THAT_RAN = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Lab.run(arguments[0], LostPage::isBroken);
    }

    private static Manifest manifest(String service) {
        return new Manifest().plainService("ledger-old").plainService("ledger-new").plainService("archive")
            .route("finding", "/finding/", "idempotent", service, 2, false, 4000, "");
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.zones.put("salish-s-a", "salish-south");
        Replica.Behaviour sound = request -> {
            SERVICE_THAT_RAN.put(request.id(), request.replica().service);
            request.respond(200, "finding of " + request.id());
        };
        lab.replica("ledger-old", "salish-s-a", 6, sound);
        lab.replica("ledger-new", "salish-s-a", 6, sound);
        for (int number = 0; number < IDLE_REPLICAS; number++) {
            lab.store.put(String.format("servers/i-f%07x", number), "{\"service\":\"archive\",\"address\":\"127.3."
                + number / 250 + "." + (1 + number % 250) + ":8587\",\"zone\":\"salish-s-a\",\"version\":\"v1\",\"slots\":6,"
                + "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1774429306189,\"seq\":4}");
        }
        lab.store.put("op/config", manifest("ledger-old").text(7));
        // The store answers in 4 ms; the host stands in another region, 55 ms away.
        lab.store.oneWayMs = 57;
        Lab.Host first = lab.host("salish-s-a");
        Lab.Host second = lab.host("salish-s-a");
        first.start();
        second.start();
        first.awaitReady(20_000);
        second.awaitReady(20_000);
        Thread.sleep(Lab.CONTACT_MS + 1000);
        send(lab, first, 1);
        send(lab, second, 2);

        if (lab.trouble) {
            AtomicBoolean isChanged = new AtomicBoolean();
            lab.store.afterPage = page -> {
                if (page != 1 || !isChanged.compareAndSet(false, true)) return;
                lab.store.put("op/config", manifest("ledger-new").text(9));
                lab.record.line("manifest 9 acknowledged: /finding/ goes to ledger-new");
            };
            first.kill();
            Thread.sleep(500);
            first.start();
            first.awaitReady(20_000);
            if (!isChanged.get()) throw new IllegalStateException("the manifest was not changed");
        } else {
            lab.store.put("op/config", manifest("ledger-new").text(9));
            lab.record.line("manifest 9 acknowledged: /finding/ goes to ledger-new");
        }
        // In touch again, and past the bound of the manifest.
        Thread.sleep(Lab.CONTACT_MS + Lab.CONFIG_MS + 2000);
        int old = 0;
        for (int number = 10; number < 50; number++) {
            if ("ledger-old".equals(send(lab, first, number))) old++;
            Thread.sleep(500);
        }
        send(lab, second, 50);
        lab.record.line("requests of 40 that " + first.name + " had run by the old service: " + old);
        return old > 0;
    }

    private static String send(Lab lab, Lab.Host host, int number) throws Exception {
        String id = String.format("a041d07be2a3%04x", number);
        Client.Answer answer = Client.send(host.front(), "GET", "/finding/" + number, new TreeMap<>(Map.of("Host",
            "ficu95.example", "Buckthornwheel-Request-Id", id, "Buckthornwheel-Deadline-Ms", "4000")), null, 6000);
        String service = SERVICE_THAT_RAN.get(id);
        lab.record.line("sent to " + host.name + " " + id + ", run by " + service + ", answered " + answer);
        return service;
    }
}
