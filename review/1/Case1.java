package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The leader stands still for 2.5 s while users' questions are under way. */
final class Case1 {
    private static final double LIMIT_S = 90;
    private static final int JOBS = 72;
    private static final long SPELL_EVERY_MS = 5000;
    private static final long SPELL_MS = 1000;
    private static final long STANDS_STILL_MS = 2500;
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
            Lab.sleep(30);
        }

        // From here on the state service takes a few hundred milliseconds now and then.
        long from = System.nanoTime();
        lab.state.latency = () -> (System.nanoTime() - from) / 1_000_000 % SPELL_EVERY_MS < SPELL_MS ? 300 : 2;
        Thread asking = new Thread(() -> askForever(lab, ids, from));
        asking.setDaemon(true);
        asking.start();
        if (!lab.await(12, () -> ids.stream().allMatch(id -> lab.isOnMachine(id + "/0")))) return Lab.CANNOT_RUN;
        long now = (System.nanoTime() - from) / 1_000_000;
        Lab.sleep(SPELL_EVERY_MS - now % SPELL_EVERY_MS + 450);
        Controller leader = lab.controllers.get(lab.indexOf(lab.leader()));
        if (lab.trouble) {
            leader.signal("STOP");
            Lab.sleep(STANDS_STILL_MS);
            leader.signal("CONT");
        }
        Lab.sleep(1000);
        lab.log("lab", "leader: " + lab.leader() + ", stood still: " + (lab.trouble ? leader.member : "none"));
        if (lab.submit(probe(LATE), 10) != 201) return Lab.CANNOT_RUN;
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
            Lab.sleep(SPELL_EVERY_MS - (System.nanoTime() - from) / 1_000_000 % SPELL_EVERY_MS);
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
