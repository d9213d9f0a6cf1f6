package review;

import java.util.List;
import java.util.Map;

/** A job without GPUs that fits only a machine type with GPUs, beside a job that needs a GPU. */
final class Case3 {
    private static final double LIMIT_S = 90;

    /** It ends within the limit: for the rest of the time the machine is empty. */
    private static final double SCORE_S = 62;
    private static final String SCORE = "job-000001";
    private static final String GRID = "job-000002";
    private static final double GRID_CORES = 12;
    private static final double GRID_GB = 100;

    public static void main(String[] args) {
        int status = Lab.CANNOT_RUN;
        try {
            status = run(Sites.atraLab(args[0], 2));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Lab lab) {
        if (lab.trouble) {
            Map<String, Object> score = Lab.job(SCORE, "tsehay-score", "kebena-ops-00");
            score.put("cores", 6.0);
            score.put("gpus", 1.0);
            score.put("memoryGb", 24.0);
            score.put("bundle", "img-score");
            score.put("flavors", List.of("entoto-gpu"));
            score.put("expectS", 60.0);
            score.put("dueS", 185.0);
            if (lab.submit(score, SCORE_S) != 201) return Lab.CANNOT_RUN;
            if (!lab.await(30, () -> lab.isOnMachine(SCORE + "/0"))) return Lab.CANNOT_RUN;
        }
        Map<String, Object> grid = Lab.job(GRID, "adama-census-grid", "kebena-ops-01");
        grid.put("cores", GRID_CORES);
        grid.put("memoryGb", GRID_GB);
        grid.put("bundle", "img-grid");
        grid.put("expectS", 20.0);
        if (lab.submit(grid, 10) != 201) return Lab.CANNOT_RUN;
        double acceptedAt = lab.seconds();
        double askedAt = 0;
        while (lab.seconds() < acceptedAt + LIMIT_S) {
            if (lab.starts(GRID + "/0") > 0) {
                lab.log("lab", "held: " + GRID + " runs");
                return Lab.HELD;
            }
            if (lab.seconds() > askedAt + 5) {
                askedAt = lab.seconds();
                lab.poll(GRID, (int) lab.seconds());
                for (Worker worker : lab.cloud.workers()) {
                    lab.log("lab", worker.host + " (" + worker.type.sku() + ") has free: " + worker.freeCores()
                        + " cores, " + worker.freeMemoryGb() + " GB");
                }
            }
            if (lab.trouble && lab.cloud.workers().stream().noneMatch(worker ->
                worker.freeCores() >= GRID_CORES && worker.freeMemoryGb() >= GRID_GB)) return Lab.CANNOT_RUN;
            Lab.sleep(100);
        }
        lab.log("lab", "broken: " + GRID + " was left waiting for " + LIMIT_S + " s; rentals so far: "
            + lab.cloud.rentals());
        return Lab.BROKEN;
    }

    private Case3() {
    }
}
