package lab2;

import java.util.LinkedHashMap;
import java.util.Map;

/** A job as its user submits it; runS is how long each of its tasks really runs. */
public final class Job {
    public final Map<String, Object> fields = new LinkedHashMap<>();
    public final double runS;

    public Job(String id, String shape, String rank, int steps, double runS) {
        this.runS = runS;
        fields.put("uid", id);
        fields.put("queue", "churn-report");
        fields.put("owner", "doors-crew");
        fields.put("shape", shape);
        fields.put("rank", rank);
        fields.put("steps", (long) steps);
        fields.put("cores", 2.0);
        fields.put("gpus", 0.0);
        fields.put("memoryGb", 4.4);
        fields.put("bundle", "img-1");
        fields.put("sizeGb", 1.0);
        fields.put("flavors", null);
        fields.put("hall", null);
        fields.put("oneZone", false);
        fields.put("spread", false);
        fields.put("standby", false);
        fields.put("expectS", shape.equals("service") ? 0.0 : runS);
        fields.put("snapshotS", 0.0);
        fields.put("flushS", 0.0);
        fields.put("dueS", null);
    }

    public Job with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    public String id() {
        return (String) fields.get("uid");
    }

    public String text(String field) {
        return (String) fields.get(field);
    }

    public double number(String field) {
        return ((Number) fields.get(field)).doubleValue();
    }

    public int steps() {
        return ((Number) fields.get("steps")).intValue();
    }

    public boolean gang() {
        return text("shape").equals("gang");
    }

    public boolean service() {
        return text("shape").equals("service");
    }
}
