package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The leader loses the state service for 2.5 s while a user asks for jobs. */
final class Case1 {
    private static final double LIMIT_S = 90;
    private static final int JOBS = 72;
    private static final long ASK_EVERY_MS = 5000;
    private static final long CUT_MS = 2500;

    /** The cut begins that long before the questions of a round. */
    private static final long CUT_BEFORE_MS = 300;
    private static final String LATE = "job-late01";

    public static void main(String[] args) {
        int status = Lab.CANNOT_RUN;
        try {
            status = run(Sites.atraLab(args[0], 2));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Lab lab) throws Exception {
        List<String> ids = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            String id = "job-%06d".formatted(i);
            if (lab.submit(probe(id), 150) != 201) return Lab.CANNOT_RUN;
            ids.add(id);
            Lab.sleep(20);
        }
        long from = System.nanoTime();
        Thread asking = new Thread(() -> askForever(lab, ids, from));
        asking.setDaemon(true);
        asking.start();
        if (!lab.await(20, () -> ids.stream().allMatch(id -> lab.isOnMachine(id + "/0")))) return Lab.CANNOT_RUN;
        long sinceAsked = (System.nanoTime() - from) / 1_000_000 % ASK_EVERY_MS;
        Lab.sleep((2 * ASK_EVERY_MS - CUT_BEFORE_MS - sinceAsked) % ASK_EVERY_MS);
        Controller leader = lab.controllers.get(lab.indexOf(lab.leader()));
        if (lab.trouble) {
            lab.log("lab", leader.member + " loses the state service");
            leader.stateLink.cut();
            Lab.sleep(CUT_MS);
            leader.stateLink.heal();
            lab.log("lab", leader.member + " reaches the state service again");
        }
        Lab.sleep(1500);
        lab.log("lab", "leader: " + lab.leader() + ", cut off before: " + (lab.trouble ? leader.member : "none"));
        if (lab.submit(probe(LATE), 10, lab.indexOf(leader.member) + 1) != 201) return Lab.CANNOT_RUN;
        double acceptedAt = lab.seconds();
        while (lab.seconds() < acceptedAt + LIMIT_S) {
            if (lab.starts(LATE + "/0") > 0) {
                lab.log("lab", "held: " + LATE + " runs");
                return Lab.HELD;
            }
            double room = lab.cloud.workers().stream().mapToDouble(Worker::freeCores).max().orElse(0);
            lab.log("lab", "most cores free on a machine: " + room + "; leader: " + lab.leader() + "; healthy: "
                + leader.healthy + "; state service calls of " + leader.member + ": " + leader.calls);
            if (room < 0.25) return Lab.CANNOT_RUN;
            Lab.sleep(2000);
        }
        lab.log("lab", "broken: " + LATE + " was left waiting for " + LIMIT_S + " s");
        return Lab.BROKEN;
    }

    /** A user who follows all of the jobs asks for each every 5 s. */
    private static void askForever(Lab lab, List<String> ids, long from) {
        while (true) {
            AtomicInteger answered = new AtomicInteger();
            for (int i = 0; i < ids.size(); i++) {
                int turn = i;
                Http.start(() -> {
                    Http.Answer answer = lab.poll(ids.get(turn), turn);
                    if (answer != null && answer.status() == 200) answered.incrementAndGet();
                });
            }
            Lab.sleep(ASK_EVERY_MS - (System.nanoTime() - from) / 1_000_000 % ASK_EVERY_MS);
            lab.log("user", "has an answer for " + answered + " of " + ids.size() + " jobs");
        }
    }

    private static Map<String, Object> probe(String id) {
        Map<String, Object> job = Lab.job(id, "adama-probe-swarm", "kebena-ops-00");
        job.put("rank", "idle");
        job.put("cores", 0.25);
        job.put("memoryGb", 0.9);
        job.put("expectS", 150.0);
        return job;
    }

    private Case1() {
    }
}
