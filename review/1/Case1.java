package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The leader loses the state service for 2.5 s while users ask for their jobs. */
final class Case1 {
    private static final double LIMIT_S = 90;
    private static final int JOBS = 360;
    private static final long ASK_EVERY_MS = 5000;
    private static final long CUT_MS = 2700;
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
            if (lab.submit(probe(id), 150, i) != 201) return Lab.CANNOT_RUN;
            ids.add(id);
        }
        Thread asking = new Thread(() -> askForever(lab, ids));
        asking.setDaemon(true);
        asking.start();
        Lab.sleep(ASK_EVERY_MS);
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

    /** Each job's user asks for it every 5 s, on the connection that it has; the questions are spread evenly. */
    private static void askForever(Lab lab, List<String> ids) {
        AtomicInteger answered = new AtomicInteger();
        long next = System.nanoTime();
        for (int i = 0;; i = (i + 1) % ids.size()) {
            int turn = i;
            if (i == 0) lab.log("user", "answers of the last round: " + answered.getAndSet(0) + " of " + ids.size());
            Http.start(() -> {
                Http.Answer answer = lab.poll(ids.get(turn), turn);
                if (answer != null && answer.status() == 200) answered.incrementAndGet();
            });
            next += ASK_EVERY_MS * 1_000_000 / ids.size();
            Lab.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
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
