package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud. Its list is as old as the settings allow; the workers of its machines run in here. */
final class CloudService {
    /** A machine type; the capacity is the number of machines of each market. */
    record Type(String sku, double cores, double gpus, double memoryGb, double cacheGb, double fetchGbPerS,
                double hourly, double marketPrice, double readyS, List<String> halls, int capacity) {
    }

    private static final class Machine {
        final String host;
        final Type type;
        final String hall;
        final boolean spot;
        final long rentedAt = System.nanoTime();
        final Worker worker;
        volatile long upAt = Long.MAX_VALUE;
        volatile long goneAt = Long.MAX_VALUE;

        Machine(String host, Type type, String hall, boolean spot, Worker worker) {
            this.host = host;
            this.type = type;
            this.hall = hall;
            this.spot = spot;
            this.worker = worker;
        }

        boolean present(long at) {
            return rentedAt <= at && at < goneAt;
        }
    }

    private final Lab lab;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> bookings = new HashMap<>();
    private final double listLagS;
    private final Limit requests;
    private int rented;

    /** How long a machine boots, in seconds. */
    volatile double bootS;
    final String address;

    CloudService(Lab lab, List<Type> types, double rps, double listLagS, double bootS) throws Exception {
        this.lab = lab;
        this.listLagS = listLagS;
        this.bootS = bootS;
        requests = new Limit(rps, 2 * rps);
        types.forEach(type -> this.types.put(type.sku, type));
        address = Http.serve(this::handle);
    }

    /** The workers of the machines that are up. */
    synchronized List<Worker> workers() {
        long now = System.nanoTime();
        return machines.values().stream().filter(m -> m.present(now) && m.upAt <= now).map(m -> m.worker).toList();
    }

    /** The number of machines that are rented now. */
    synchronized int count() {
        long now = System.nanoTime();
        return (int) machines.values().stream().filter(m -> m.present(now)).count();
    }

    /** The number of rentals that were asked for and granted so far. */
    synchronized int rentals() {
        return bookings.size();
    }

    /** Takes a spot machine back, that many seconds after a notice. */
    void take(Worker worker, double noticeS) {
        lab.log("cloud", "tells " + worker.host + " that it is taken back in " + noticeS + " s");
        worker.notice(noticeS);
        Http.start(() -> {
            Lab.sleep((long) (noticeS * 1000));
            synchronized (this) {
                lab.log("cloud", "takes " + worker.host + " back");
                end(machines.get(worker.host));
            }
        });
    }

    private void end(Machine machine) {
        if (machine == null || machine.goneAt != Long.MAX_VALUE) return;
        machine.goneAt = System.nanoTime();
        machine.worker.end();
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        if (!requests.take(1)) return Http.Answer.of(429, Map.of("error", "too many requests"));
        Lab.sleep(50);
        boolean post = request.method().equals("POST");
        return switch (request.path()) {
            case "/flavors" -> flavors();
            case "/hosts" -> post ? rent(Cbor.map(request.body())) : list(request);
            case "/hosts/release" -> release(Cbor.map(request.body()));
            default -> Http.Answer.of(400, Map.of("error", "no such path"));
        };
    }

    private Http.Answer flavors() {
        List<Object> list = new ArrayList<>();
        for (Type type : types.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("sku", type.sku);
            fields.put("cores", type.cores);
            fields.put("gpus", type.gpus);
            fields.put("memoryGb", type.memoryGb);
            fields.put("cacheGb", type.cacheGb);
            fields.put("fetchGbPerS", type.fetchGbPerS);
            fields.put("hourly", type.hourly);
            fields.put("marketPrice", type.marketPrice);
            fields.put("readyS", type.readyS);
            fields.put("halls", type.halls);
            list.add(fields);
        }
        return Http.Answer.of(200, Map.of("flavors", list));
    }

    private synchronized Http.Answer rent(Map<String, Object> body) throws Exception {
        String booking = (String) body.get("booking");
        List<Object> hosts = bookings.get(booking);
        if (hosts != null) return Http.Answer.of(200, Map.of("hosts", hosts));
        Type type = types.get((String) body.get("flavor"));
        String hall = (String) body.get("hall");
        boolean spot = (Boolean) body.get("standby");
        if (type == null || !type.halls.contains(hall)) return Http.Answer.of(400, Map.of("error", "malformed"));
        long now = System.nanoTime();
        long used = machines.values().stream()
            .filter(m -> m.present(now) && m.type == type && m.hall.equals(hall) && m.spot == spot).count();
        long count = Math.min((Long) body.get("howMany"), type.capacity - used);
        if (count <= 0) return Http.Answer.of(503, Map.of("error", "no capacity"));
        hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) hosts.add(boot(type, hall, spot));
        bookings.put(booking, hosts);
        lab.log("cloud", "rents " + hosts + " " + type.sku + " in " + hall + (spot ? " spot" : " ordinary"));
        return Http.Answer.of(200, Map.of("hosts", hosts));
    }

    private String boot(Type type, String hall, boolean spot) throws Exception {
        String host = "n-%06d".formatted(++rented);
        Worker worker = new Worker(lab, host, type, hall, spot);
        Machine machine = new Machine(host, type, hall, spot, worker);
        machines.put(host, machine);
        Http.start(() -> {
            Lab.sleep((long) (bootS * 1000));
            if (machine.goneAt != Long.MAX_VALUE) return;
            machine.upAt = System.nanoTime();
            worker.run();
        });
        return host;
    }

    private synchronized Http.Answer release(Map<String, Object> body) {
        lab.log("cloud", "is given back " + body.get("hosts"));
        for (Object host : (List<?>) body.get("hosts")) end(machines.get((String) host));
        return Http.Answer.of(200, Map.of());
    }

    private synchronized Http.Answer list(Http.Request request) {
        String since = request.parameter("since", "");
        int limit = Math.min(500, Integer.parseInt(request.parameter("limit", "500")));
        long at = System.nanoTime() - (long) (listLagS * 1e9);
        List<Object> page = new ArrayList<>();
        boolean truncated = false;
        for (Machine machine : machines.tailMap(since, false).values()) {
            if (!machine.present(at)) continue;
            if (page.size() == limit) {
                truncated = true;
                break;
            }
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", machine.host);
            fields.put("endpoint", machine.worker.endpoint);
            fields.put("flavor", machine.type.sku);
            fields.put("hall", machine.hall);
            fields.put("standby", machine.spot);
            fields.put("status", machine.upAt <= at ? "running" : "starting");
            fields.put("heldS", (at - machine.rentedAt) / 1e9);
            page.add(fields);
        }
        return Http.Answer.of(200, Map.of("hosts", page, "truncated", truncated));
    }
}
