package review;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/** A stand-in for the state service: a consistent store with leases, watches and the limits of the settings. */
final class StateService {
    private record Entry(Map<String, Object> data, long stamp, Long permit) {
    }

    private record Event(String key, Map<String, Object> data, long stamp) {
    }

    private static final class Lease {
        final long ttlNanos;
        long ends;

        Lease(long ttlNanos) {
            this.ttlNanos = ttlNanos;
            renew();
        }

        void renew() {
            ends = System.nanoTime() + ttlNanos;
        }
    }

    private static final int HISTORY = 10_000;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private final Limit requests;
    private final Limit writes;
    private final int maxOps;
    private long generation;
    private long lastPermit;
    private long forgotten;

    /** How long each call but a watch takes, in milliseconds. */
    volatile LongSupplier latency = () -> 2;

    StateService(double rps, double writeRps, int maxOps) throws Exception {
        requests = new Limit(rps, rps);
        writes = new Limit(writeRps, writeRps);
        this.maxOps = maxOps;
        Http.start(this::expireLoop);
    }

    /** What one caller has asked for so far. */
    static final class Calls {
        final AtomicInteger reads = new AtomicInteger();
        final AtomicInteger commits = new AtomicInteger();
        final AtomicInteger renewals = new AtomicInteger();
        final AtomicInteger watches = new AtomicInteger();

        @Override
        public String toString() {
            return "reads " + reads + ", commits " + commits + ", lease calls " + renewals + ", watches " + watches;
        }

        private void count(String path) {
            (path.startsWith("/kv") ? reads : path.equals("/commit") ? commits
                : path.startsWith("/grants") ? renewals : watches).incrementAndGet();
        }
    }

    /** An address of the service for one caller, whose calls are counted. */
    String front(Calls calls) throws Exception {
        return Http.serve(request -> {
            calls.count(request.path());
            return handle(request);
        });
    }

    /** The data under a key, or null. */
    synchronized Map<String, Object> data(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.data;
    }

    private void expireLoop() {
        while (true) {
            Lab.sleep(20);
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.ends - System.nanoTime() < 0) ended.add(id);
                });
                ended.forEach(this::end);
            }
        }
    }

    private void end(long permit) {
        leases.remove(permit);
        List<String> gone = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.permit != null && entry.permit == permit) gone.add(key);
        });
        if (gone.isEmpty()) return;
        generation++;
        for (String key : gone) remove(key);
        notifyAll();
    }

    private void remove(String key) {
        entries.remove(key);
        record(new Event(key, null, generation));
    }

    private void record(Event event) {
        history.add(event);
        if (history.size() > HISTORY) forgotten = history.remove().stamp;
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        if (!requests.take(1)) return Http.Answer.of(429, Map.of("error", "too many requests"));
        String path = request.path();
        if (path.equals("/watch")) return watch(request);
        Lab.sleep(latency.getAsLong());
        if (path.equals("/kv")) return list(request);
        if (path.startsWith("/kv/")) return get(path.substring(4));
        if (path.equals("/commit")) return commit(Cbor.map(request.body()));
        if (path.equals("/grants")) return grant(Cbor.map(request.body()));
        if (path.startsWith("/grants/")) return lease(request);
        return Http.Answer.of(400, Map.of("error", "no such path"));
    }

    private synchronized Http.Answer get(String key) {
        Entry entry = entries.get(key);
        return entry == null ? Http.Answer.of(404, Map.of("generation", generation))
            : Http.Answer.of(200, fields(key, entry));
    }

    private static Map<String, Object> fields(String key, Entry entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("k", key);
        fields.put("data", entry.data);
        fields.put("stamp", entry.stamp);
        fields.put("permit", entry.permit);
        return fields;
    }

    private synchronized Http.Answer list(Http.Request request) {
        String prefix = request.parameter("under", "");
        String since = request.parameter("since", "");
        int limit = Math.min(1000, Integer.parseInt(request.parameter("limit", "1000")));
        List<Object> page = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (!since.isEmpty() && entry.getKey().compareTo(since) <= 0) continue;
            if (page.size() == limit) {
                truncated = true;
                break;
            }
            page.add(fields(entry.getKey(), entry.getValue()));
        }
        return Http.Answer.of(200, Map.of("entries", page, "truncated", truncated, "generation", generation));
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer commit(Map<String, Object> body) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("when", List.of());
        List<Map<String, Object>> changes = (List<Map<String, Object>>) body.getOrDefault("apply", List.of());
        if (changes.size() > maxOps || conditions.size() > 4 * maxOps) {
            return Http.Answer.of(400, Map.of("error", "too large"));
        }
        if (!writes.take(changes.size())) return Http.Answer.of(429, Map.of("error", "too many changes"));
        for (Map<String, Object> change : changes) {
            if (change.get("permit") != null && !leases.containsKey((Long) change.get("permit"))) {
                return Http.Answer.of(400, Map.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Entry entry = entries.get((String) condition.get("k"));
            if ((entry == null ? 0 : entry.stamp) != (Long) condition.get("stamp")) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return Http.Answer.of(409, Map.of("failed", failed, "generation", generation));
        if (changes.isEmpty()) return Http.Answer.of(200, Map.of("generation", generation));
        generation++;
        for (Map<String, Object> change : changes) {
            String key = (String) change.get("write");
            if (key == null) {
                if (entries.containsKey((String) change.get("drop"))) remove((String) change.get("drop"));
            } else {
                Map<String, Object> data = (Map<String, Object>) change.get("data");
                entries.put(key, new Entry(data, generation, (Long) change.get("permit")));
                record(new Event(key, data, generation));
            }
        }
        notifyAll();
        return Http.Answer.of(200, Map.of("generation", generation));
    }

    private synchronized Http.Answer grant(Map<String, Object> body) {
        leases.put(++lastPermit, new Lease((Long) body.get("ttlMs") * 1_000_000));
        return Http.Answer.of(200, Map.of("permit", lastPermit));
    }

    private synchronized Http.Answer lease(Http.Request request) {
        long permit = Long.parseLong(request.path().split("/")[2]);
        Lease lease = leases.get(permit);
        if (lease == null) return Http.Answer.of(404, Map.of("error", "no such lease"));
        if (request.method().equals("DELETE")) end(permit);
        else lease.renew();
        return Http.Answer.of(200, Map.of());
    }

    private synchronized Http.Answer watch(Http.Request request) throws InterruptedException {
        String prefix = request.parameter("under", "");
        long since = Long.parseLong(request.parameter("since", "0"));
        long until = System.nanoTime() + Long.parseLong(request.parameter("waitMs", "0")) * 1_000_000;
        while (true) {
            if (since < forgotten) return Http.Answer.of(410, Map.of("error", "too old"));
            List<Object> events = new ArrayList<>();
            Iterator<Event> newest = history.descendingIterator();
            while (newest.hasNext()) {
                Event event = newest.next();
                if (event.stamp <= since) break;
                if (event.key.startsWith(prefix)) events.add(0, event.data == null
                    ? Map.of("drop", event.key, "stamp", event.stamp)
                    : Map.of("write", event.key, "data", event.data, "stamp", event.stamp));
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return Http.Answer.of(200, Map.of("generation", generation, "events", events));
            }
            wait(left);
        }
    }
}
