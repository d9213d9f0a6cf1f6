package lab2;

import java.util.function.BooleanSupplier;

/** Judges whether a job is left waiting for 90 s while a machine that fits has room and its team is under its limit. */
public final class Waiting {
    private Waiting() {}

    /** The bound of the rule. */
    private static final long BOUND_MS = 90_000;

    /**
     * Waits until the job has a task on a machine, for a little longer than the bound. Returns whether the rule held;
     * it says nothing unless there was room all the time.
     */
    public static boolean held(Lab lab, Job job, BooleanSupplier room) {
        long submitted = Record.now();
        long roomSince = -1;
        while (lab.onMachines(job.id()).isEmpty() && Record.now() - submitted < BOUND_MS + 4_000) {
            if (!room.getAsBoolean()) roomSince = -1;
            else if (roomSince < 0) roomSince = Record.now();
            Lab.sleep(200);
        }
        double waited = (Record.now() - submitted) / 1000.0;
        if (!lab.onMachines(job.id()).isEmpty()) {
            Record.line("verdict", "held: " + job.id() + " began after " + waited + " s");
            return true;
        }
        if (roomSince < 0 || Record.now() - roomSince < BOUND_MS) throw new Lab.CannotRun("there was not room for 90 s");
        Record.line("user", "is told of " + job.id() + ": " + Lab.text(lab.poll(job.id(), 0)));
        Record.line("verdict", "left waiting: " + job.id() + " for " + waited + " s; a machine that fits had room for the last "
            + (Record.now() - roomSince) / 1000.0 + " s of them");
        return false;
    }

    /** Whether a machine of the type that is up has room for a task of the job. */
    public static boolean room(Lab lab, String type, Job job) {
        return lab.workers().stream().anyMatch(w -> w.type.name().equals(type) && w.isUp()
            && free(lab, w, "cores", w.type.cpus()) >= job.number("cores")
            && free(lab, w, "gpus", w.type.gpus()) >= job.number("gpus")
            && free(lab, w, "memoryGb", w.type.memoryGb()) >= job.number("memoryGb"));
    }

    private static double free(Lab lab, Worker worker, String field, double all) {
        return all - worker.onMachine().stream().mapToDouble(task -> lab.job(task.step).number(field)).sum();
    }
}
