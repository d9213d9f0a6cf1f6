package lab2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment: teams, machine types and timing, in the form of the settings file. */
public final class Site {
    public record Type(
        String name, double cpus, double gpus, double memoryGb, double price, double spotPrice, double readyS,
        List<String> zones) {}

    public record Team(String name, double gpus, double gpusMax) {}

    public List<String> members = List.of("worker-0", "worker-1", "worker-2");
    public List<String> zones = List.of("hobart-west", "cove-south", "launceston-north");
    public List<Team> teams = new ArrayList<>();
    public List<Type> types = new ArrayList<>();
    public double reportS = 2.5;
    public double leaseS = 14.0;
    public double cancelS = 39.0;

    /** Settings and machine types after derwent-members; boots take two seconds. */
    public static Site derwent() {
        Site site = new Site();
        site.teams.add(new Team("ledger-crew", 8, 16));
        site.teams.add(new Team("coach-crew", 8, 24));
        site.teams.add(new Team("doors-crew", 8, 16));
        site.teams.add(new Team("insights-crew", 8, 16));
        site.teams.add(new Team("platform-crew", 16, 32));
        site.types.add(new Type("kunanyi-nodes", 32, 0, 128, 2.14, 0.77, 2, site.zones));
        site.types.add(new Type("tamar-gpu", 24, 2, 192, 7.54, 2.71, 2, site.zones));
        site.types.add(new Type("huon-gpu", 24, 4, 192, 10.33, 3.40, 2, List.of("hobart-west", "cove-south")));
        return site;
    }

    Type type(String name) {
        return types.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
    }

    Object flavors() {
        List<Object> list = new ArrayList<>();
        for (Type t : types) {
            list.add(Map.of(
                "sku", t.name(), "cores", t.cpus(), "gpus", t.gpus(), "memoryGb", t.memoryGb(), "cacheGb", 150.0,
                "fetchGbPerS", 10.0, "hourly", t.price(), "marketPrice", t.spotPrice(), "readyS", t.readyS(),
                "halls", t.zones()));
        }
        return Map.of("flavors", list);
    }

    String settings(int index, int[] bind, int[] mesh, int[][] links, int state, int cloud) {
        StringBuilder s = new StringBuilder();
        s.append("member = \"" + members.get(index) + "\"\n");
        s.append("area = \"" + zones.get(index % zones.size()) + "\"\n");
        s.append("bind = \"" + Http.LOOPBACK + ":" + bind[index] + "\"\n");
        s.append("mesh_addr = \"" + Http.LOOPBACK + ":" + mesh[index] + "\"\n");
        for (int i = 0; i < members.size(); i++) {
            if (i == index) continue;
            s.append("[[seeds]]\nmember = \"" + members.get(i) + "\"\narea = \"" + zones.get(i % zones.size()) + "\"\n");
            s.append("address = \"" + Http.LOOPBACK + ":" + links[index][i] + "\"\n");
        }
        s.append("[outside]\ncloud = \"" + Http.LOOPBACK + ":" + cloud + "\"\n");
        s.append("state = \"" + Http.LOOPBACK + ":" + state + "\"\n");
        s.append("[deployment]\ninitial_size = " + members.size() + "\n");
        s.append("zones = [" + String.join(", ", zones.stream().map(z -> "\"" + z + "\"").toList()) + "]\n");
        s.append("clock_error_ms = 5.0\n");
        for (Team t : teams) {
            s.append("[[deployment.teams]]\nname = \"" + t.name() + "\"\ncpus = 0.0\ncpus_max = 0.0\n");
            s.append("gpus = " + t.gpus() + "\ngpus_max = " + t.gpusMax() + "\n");
        }
        s.append("[deployment.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS + "\n");
        s.append("gang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = " + cancelS + "\n");
        s.append("[deployment.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 16\n");
        s.append("[deployment.cloud]\nrps = 4.0\nlist_lag_s = 1.0\n");
        s.append("[deployment.resources]\ncpu_share = 0.425\nmem_mb = 268.0\nmax_connections = 1800\n");
        return s.toString();
    }
}
