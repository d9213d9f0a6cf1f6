package lab2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in for the state service: keys, transactions, leases and watches as the protocol's page has them. */
public final class State {
    private record Item(Object data, long stamp, Long permit) {}

    private record Change(String key, Object data, long stamp) {}

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    /** Sees each request of a controller before it is carried out; a non-null result is answered instead. */
    public interface Filter {
        Http.Response before(String member, Http.Request request) throws Exception;
    }

    private static final int HISTORY = 10_000;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long generation = 100;
    private long lastLease = 0;
    private long forgottenUpTo = 100;
    public volatile Filter filter = (member, request) -> null;

    public State() {
        Thread sweeper = new Thread(() -> {
            while (true) {
                sweep();
                Lab.sleep(20);
            }
        });
        sweeper.setDaemon(true);
        sweeper.start();
    }

    /** Starts a server for one member and returns its port. */
    public int serve(String member) throws Exception {
        return Http.serve(request -> {
            Http.Response instead = filter.before(member, request);
            return instead != null ? instead : respond(request);
        });
    }

    /** The member that the leader's record names, or null. */
    public synchronized String leader() {
        Item item = items.get("leader");
        return item == null ? null : (String) ((Map<?, ?>) item.data()).get("member");
    }

    public Http.Response respond(Http.Request request) throws InterruptedException {
        String path = request.path;
        if (path.equals("/kv")) return list(request);
        if (path.startsWith("/kv/")) return get(path.substring(4));
        if (path.equals("/commit")) return commit(request.map());
        if (path.equals("/grants")) return grant((Long) request.map().get("ttlMs"));
        if (path.startsWith("/grants/")) return lease(path.substring(8), request.method);
        if (path.equals("/watch")) return watch(request);
        return new Http.Response(400, Map.of("error", "no such path"));
    }

    private static Map<String, Object> entry(String key, Item item) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("k", key);
        fields.put("data", item.data());
        fields.put("stamp", item.stamp());
        fields.put("permit", item.permit());
        return fields;
    }

    private synchronized Http.Response get(String key) {
        Item item = items.get(key);
        if (item == null) return new Http.Response(404, Map.of("generation", generation));
        return new Http.Response(200, entry(key, item));
    }

    private synchronized Http.Response list(Http.Request request) {
        String under = request.query.get("under");
        String since = request.query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(request.query.getOrDefault("limit", "1000")));
        List<Object> entries = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Item> e : items.tailMap(under).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (e.getKey().compareTo(since) <= 0) continue;
            if (entries.size() == limit) {
                truncated = true;
                break;
            }
            entries.add(entry(e.getKey(), e.getValue()));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("entries", entries);
        body.put("truncated", truncated);
        body.put("generation", generation);
        return new Http.Response(200, body);
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response commit(Map<String, Object> body) {
        List<Map<String, Object>> apply = (List<Map<String, Object>>) body.getOrDefault("apply", List.of());
        for (Map<String, Object> change : apply) {
            Long permit = (Long) change.get("permit");
            if (permit != null && !leases.containsKey(permit)) {
                return new Http.Response(400, Map.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : (List<Map<String, Object>>) body.getOrDefault("when", List.of())) {
            Item item = items.get((String) condition.get("k"));
            if ((item == null ? 0 : item.stamp()) != (Long) condition.get("stamp")) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Response(409, Map.of("failed", failed, "generation", generation));
        if (!apply.isEmpty()) generation++;
        for (Map<String, Object> change : apply) {
            if (change.containsKey("write")) {
                put((String) change.get("write"), change.get("data"), (Long) change.get("permit"));
            } else {
                drop((String) change.get("drop"));
            }
        }
        notifyAll();
        return new Http.Response(200, Map.of("generation", generation));
    }

    private void put(String key, Object data, Long permit) {
        items.put(key, new Item(data, generation, permit));
        remember(new Change(key, data, generation));
    }

    private void drop(String key) {
        if (items.remove(key) != null) remember(new Change(key, null, generation));
    }

    private void remember(Change change) {
        changes.add(change);
        if (changes.size() > HISTORY) forgottenUpTo = changes.remove(0).stamp();
    }

    private synchronized Http.Response grant(long ttlMs) {
        Lease lease = new Lease();
        lease.ttlMs = ttlMs;
        lease.endsAt = Record.now() + ttlMs;
        leases.put(++lastLease, lease);
        return new Http.Response(200, Map.of("permit", lastLease));
    }

    private synchronized Http.Response lease(String rest, String method) {
        long id = Long.parseLong(rest.split("/")[0]);
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Response(404, Map.of("error", "no such lease"));
        if (method.equals("DELETE")) end(id);
        else lease.endsAt = Record.now() + lease.ttlMs;
        return new Http.Response(200, Map.of());
    }

    private synchronized void sweep() {
        Set<Long> ended = new HashSet<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAt < Record.now()) ended.add(id);
        });
        ended.forEach(this::end);
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.permit() != null && item.permit() == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        generation++;
        keys.forEach(this::drop);
        notifyAll();
    }

    private synchronized Http.Response watch(Http.Request request) throws InterruptedException {
        String under = request.query.get("under");
        long since = Long.parseLong(request.query.get("since"));
        long end = Record.now() + Long.parseLong(request.query.getOrDefault("waitMs", "0"));
        if (since < forgottenUpTo) return new Http.Response(410, Map.of("error", "too old"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > since; i--) {
                Change c = changes.get(i);
                if (c.key().startsWith(under)) events.add(0, event(c));
            }
            long left = end - Record.now();
            if (!events.isEmpty() || left <= 0) {
                return new Http.Response(200, Map.of("generation", generation, "events", events));
            }
            wait(left);
        }
    }

    private static Map<String, Object> event(Change change) {
        if (change.data() == null) return Map.of("drop", change.key(), "stamp", change.stamp());
        return Map.of("write", change.key(), "data", change.data(), "stamp", change.stamp());
    }
}
