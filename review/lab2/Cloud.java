package lab2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the cloud. Each market has a number of machines to give; their workers run in this process. */
public final class Cloud {
    /** How many machines the market may have rented at a time. */
    public interface Capacity {
        int of(String type, String zone, boolean spot);
    }

    private final Lab lab;
    private final Map<String, List<Object>> bookings = new LinkedHashMap<>();
    public final Map<String, Worker> machines = new LinkedHashMap<>();
    private int rented = 0;
    public volatile Capacity capacity = (type, zone, spot) -> 0;

    Cloud(Lab lab) {
        this.lab = lab;
    }

    int serve() throws Exception {
        return Http.serve(this::respond);
    }

    private Http.Response respond(Http.Request request) throws Exception {
        Lab.sleep(20);
        switch (request.path) {
            case "/flavors":
                return new Http.Response(200, lab.site.flavors());
            case "/hosts/release":
                return release(request.map());
            case "/hosts":
                return request.method.equals("POST") ? rent(request.map()) : list(request);
            default:
                return new Http.Response(400, Map.of("error", "no such path"));
        }
    }

    private synchronized Http.Response rent(Map<String, Object> body) throws Exception {
        String booking = (String) body.get("booking");
        List<Object> hosts = bookings.get(booking);
        if (hosts == null) {
            hosts = new ArrayList<>();
            String type = (String) body.get("flavor");
            String zone = (String) body.get("hall");
            boolean spot = (Boolean) body.get("standby");
            long used = machines.values().stream()
                .filter(w -> w.type.name().equals(type) && w.zone.equals(zone) && w.spot == spot).count();
            long count = Math.min((Long) body.get("howMany"), capacity.of(type, zone, spot) - used);
            for (long i = 0; i < count; i++) {
                String host = String.format("n-%06d", ++rented);
                Worker worker = new Worker(lab, host, lab.site.type(type), zone, spot);
                machines.put(host, worker);
                worker.boot((long) (worker.type.readyS() * 1000));
                hosts.add(host);
                Record.line("cloud", host + " rented: " + type + " in " + zone + (spot ? ", spot" : ", on demand"));
            }
            if (hosts.isEmpty()) return new Http.Response(503, Map.of("error", "no capacity"));
            bookings.put(booking, hosts);
        }
        return new Http.Response(200, Map.of("hosts", hosts));
    }

    private synchronized Http.Response release(Map<String, Object> body) {
        for (Object host : (List<?>) body.get("hosts")) {
            Worker worker = machines.remove((String) host);
            if (worker == null) continue;
            Record.line("cloud", host + " returned");
            worker.end();
        }
        return new Http.Response(200, Map.of());
    }

    private synchronized Http.Response list(Http.Request request) {
        String since = request.query.getOrDefault("since", "");
        int limit = Integer.parseInt(request.query.getOrDefault("limit", "500"));
        List<Object> hosts = new ArrayList<>();
        boolean truncated = false;
        for (Worker w : machines.values()) {
            if (w.host.compareTo(since) <= 0) continue;
            if (hosts.size() == limit) {
                truncated = true;
                break;
            }
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", w.host);
            fields.put("endpoint", w.endpoint);
            fields.put("flavor", w.type.name());
            fields.put("hall", w.zone);
            fields.put("standby", w.spot);
            fields.put("status", w.isUp() ? "running" : "starting");
            fields.put("heldS", (Record.now() - w.rentedAt) / 1000.0);
            hosts.add(fields);
        }
        return new Http.Response(200, Map.of("hosts", hosts, "truncated", truncated));
    }
}
