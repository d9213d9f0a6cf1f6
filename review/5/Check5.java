import java.nio.file.Path;
import lab2.Http;
import lab2.Job;
import lab2.Lab;
import lab2.Record;
import lab2.Site;

/** A job with a very distant deadline is accepted, and no question about it is ever answered; it never runs. */
public final class Check5 {
    /** The longest time of a 64-bit clock of milliseconds, in seconds. */
    private static final double NO_DEADLINE_S = Long.MAX_VALUE / 1000.0;
    private static final long WATCH_MS = 92_000;

    public static void main(String[] args) {
        Lab.main(trouble -> run(trouble, Path.of(args[0])));
    }

    private static boolean run(boolean trouble, Path record) throws Exception {
        Lab lab = new Lab(Site.derwent(), record);
        lab.cloud.capacity = (type, zone, spot) -> 2;
        lab.start();

        Job other = new Job("job-000001", "service", "normal", 1, 0).with("queue", "door-sync");
        lab.submit(other, 0);
        Job job = new Job("job-000002", "sweep", "normal", 2, 5).with("dueS", trouble ? NO_DEADLINE_S : 900.0);
        int code = lab.submit(job, 1);
        if (code != 201) throw new Lab.CannotRun("the submission got " + code);

        long accepted = Record.now();
        int asked = 0;
        int answered = 0;
        int othersAnswered = 0;
        String last = "";
        while (Record.now() - accepted < WATCH_MS) {
            for (int node = 0; node < 3; node++) {
                asked++;
                Http.Response answer = lab.poll(job.id(), node);
                if (answer != null && answer.status() == 200) answered++;
                Http.Response otherAnswer = lab.poll(other.id(), node);
                if (otherAnswer != null && otherAnswer.status() == 200) othersAnswered++;
                String text = "asks node " + node + " for " + job.id() + ": " + Lab.text(answer);
                if (!text.substring(12).equals(last)) Record.line("user", text);
                last = text.substring(12);
                if (answer != null && "done".equals(answer.map().get("status"))) {
                    Record.line("verdict", "held: the job is done, " + answered + " of " + asked + " questions answered");
                    return true;
                }
            }
            Lab.sleep(3000);
        }
        boolean ran = lab.results.stream().anyMatch(task -> task.startsWith(job.id() + "/"));
        String counts = answered + " of " + asked + " questions for the job answered, " + othersAnswered + " of " + asked
            + " for another job; a task of it " + (ran ? "completed" : "never ran");
        Record.line("user", "cancels: " + Lab.text(Http.call("POST", lab.address(0), "/submissions/" + job.id() + "/abort", null, 5000)));
        if (answered > 0 || othersAnswered < asked / 2) throw new Lab.CannotRun(counts);
        Record.line("verdict", "forgotten: for " + (Record.now() - accepted) / 1000.0 + " s " + counts);
        return false;
    }
}
