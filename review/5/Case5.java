import java.nio.file.Path;
import java.util.List;
import lab2.Job;
import lab2.Lab;
import lab2.Record;
import lab2.Site;
import lab2.Worker;

/** A service is never started, though machines have room: the room is reserved for replicas of another service. */
public final class Case5 {
    private static final long WAIT_MS = 92_000;

    public static void main(String[] args) {
        Lab.main(trouble -> run(trouble, Path.of(args[0])));
    }

    private static boolean run(boolean trouble, Path record) throws Exception {
        Site site = Site.derwent();
        Lab lab = new Lab(site, record);
        // The cloud has one plain machine a zone; without the disruption two.
        int perZone = trouble ? 1 : 2;
        lab.cloud.capacity = (type, zone, spot) -> type.equals("kunanyi-nodes") && !spot ? perZone : 0;
        lab.start();

        Job doors = new Job("job-000001", "service", "critical", 12, 0).with("queue", "door-sync").with("cores", 4.0);
        lab.submit(doors, 0);
        Lab.await("the first service runs", 25_000, () -> lab.onMachines(doors.id()).size() == doors.steps());
        Record.line("lab", "the first service runs: " + lab.onMachines(doors.id()));

        Job studio = new Job("job-000002", "service", "critical", 1, 0).with("queue", "door-sync").with("cores", 10.0);
        lab.submit(studio, 1);
        long submitted = Record.now();
        long withRoom = 0;
        while (lab.onMachines(studio.id()).isEmpty() && Record.now() - submitted < WAIT_MS) {
            if (room(lab) < studio.number("cores")) withRoom = 0;
            else if (withRoom == 0) withRoom = Record.now();
            Lab.sleep(200);
        }
        double waited = (Record.now() - submitted) / 1000.0;
        if (!lab.onMachines(studio.id()).isEmpty()) {
            Record.line("verdict", "held: the second service began after " + waited + " s");
            return true;
        }
        if (withRoom == 0 || Record.now() - withRoom < 90_000) throw new Lab.CannotRun("no machine had room for 90 s");
        Record.line("verdict", "left waiting: " + waited + " s, for the last " + (Record.now() - withRoom) / 1000.0
            + " s of them a machine had room; CPUs free on machines now: " + free(lab));
        Record.line("verdict", "a user who asks is told " + Lab.text(lab.poll(studio.id(), 2)));
        return false;
    }

    /** The most CPUs that are free on one machine that is up. */
    private static double room(Lab lab) {
        return free(lab).stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    private static List<Double> free(Lab lab) {
        return lab.workers().stream().filter(Worker::isUp)
            .map(w -> w.type.cpus() - used(lab, w)).toList();
    }

    private static double used(Lab lab, Worker worker) {
        return worker.onMachine().stream().mapToDouble(t -> lab.job(t.step).number("cores")).sum();
    }
}
