import java.nio.file.Path;
import java.util.List;
import lab2.Job;
import lab2.Lab;
import lab2.Record;
import lab2.Site;

/** A task that saves because it was preempted goes on saving after its job is cancelled, for longer than cancel_s. */
public final class Check4 {
    private static final double FLUSH_S = 60;

    public static void main(String[] args) {
        Lab.main(trouble -> run(trouble, Path.of(args[0])));
    }

    private static boolean run(boolean trouble, Path record) throws Exception {
        Site site = Site.derwent();
        Lab lab = new Lab(site, record);
        // One machine is to be had, of one type in one zone.
        lab.cloud.capacity = (type, zone, spot) -> type.equals("kunanyi-nodes") && zone.equals("cove-south") && !spot ? 1 : 0;
        lab.start();

        Job report = new Job("job-000001", "sweep", "normal", 1, 600)
            .with("cores", 20.0).with("snapshotS", 10.0).with("flushS", FLUSH_S);
        lab.submit(report, 0);
        Lab.await("the task runs", 25_000, () -> !lab.onMachines(report.id()).isEmpty());
        Lab.sleep(4000);

        if (trouble) {
            Job urgent = new Job("job-000002", "sweep", "urgent", 1, 20).with("cores", 20.0).with("queue", "billing-run");
            lab.submit(urgent, 1);
            Lab.await("the task is told to save", 15_000,
                () -> lab.onMachines(report.id()).stream().anyMatch(t -> t.endsWith("saving")));
            Lab.sleep(1000);
        }

        String status = lab.cancel(report.id(), 2);
        if (!"withdrawn".equals(status)) throw new Lab.CannotRun("the cancellation was answered " + status);
        long told = Record.now();
        long limit = (long) (site.cancelS * 1000);
        List<String> left = lab.onMachines(report.id());
        while (!left.isEmpty() && Record.now() - told <= limit + 1000) {
            Lab.sleep(100);
            left = lab.onMachines(report.id());
        }
        double after = (Record.now() - told) / 1000.0;
        if (left.isEmpty()) {
            Record.line("verdict", "held: the task was gone " + after + " s after its user was told");
            return true;
        }
        Record.line("verdict", "ran_cancelled: " + left + " " + after + " s after its user was told; cancel_s is " + site.cancelS);
        return false;
    }
}
