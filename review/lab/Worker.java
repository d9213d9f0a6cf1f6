package review;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for a worker: its lease, sessions, tokens, reports and tasks. It runs arrays and gangs of one task whose tasks
 * save nothing: a stop ends them at once.
 */
final class Worker {
    private static final class Task {
        final String step;
        final long attempt;
        final Map<String, Object> job;
        String status = "pulling";
        String cause;
        long runsFrom;
        long endsAt = Long.MAX_VALUE;

        Task(String step, long attempt, Map<String, Object> job) {
            this.step = step;
            this.attempt = attempt;
            this.job = job;
        }

        boolean live() {
            return !status.equals("exited");
        }
    }

    private final Lab lab;
    final String host;
    final String hall;
    final boolean spot;
    final CloudService.Type type;
    final String endpoint;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long token;
    private long session = 1;
    private long tick;
    private long renewedAt;
    private int node;
    private boolean changed;
    private long noticeEnds = Long.MAX_VALUE;
    private volatile boolean alive = true;

    Worker(Lab lab, String host, CloudService.Type type, String hall, boolean spot) throws Exception {
        this.lab = lab;
        this.host = host;
        this.type = type;
        this.hall = hall;
        this.spot = spot;
        endpoint = Http.serve(this::handle);
    }

    /** Runs until the machine is gone. */
    void run() {
        lab.log(host, "is up");
        renewedAt = System.nanoTime();
        Http.start(() -> {
            while (alive) {
                Lab.sleep(20);
                advance();
            }
        });
        while (alive) {
            report();
            long sent = System.nanoTime();
            while (alive) {
                Lab.sleep(20);
                double elapsed = (System.nanoTime() - sent) / 1e9;
                if (elapsed >= lab.reportS || (changed && elapsed >= 0.5)) break;
            }
        }
    }

    /** Ends the machine with all that is on it. */
    synchronized void end() {
        alive = false;
        tasks.values().forEach(this::leave);
        tasks.clear();
    }

    /** The cloud tells the worker that the machine is taken back after that many seconds. */
    synchronized void notice(double seconds) {
        noticeEnds = System.nanoTime() + (long) (seconds * 1e9);
        changed = true;
    }

    synchronized List<String> running() {
        return tasks.values().stream().filter(task -> task.status.equals("running")).map(task -> task.step).toList();
    }

    private void leave(Task task) {
        if (task.status.equals("running")) lab.left(this, task.step);
    }

    private synchronized void advance() {
        if (!alive) return;
        expire();
        long now = System.nanoTime();
        for (Task task : tasks.values()) {
            if (task.status.equals("pulling") && now >= task.runsFrom) {
                changed = true;
                if (lab.isDone(task.step)) {
                    exit(task, "done");
                    continue;
                }
                task.status = "running";
                task.endsAt = now + (long) (lab.runS(task.step) * 1e9);
                lab.started(this, task.step, task.attempt);
            } else if (task.status.equals("running") && now >= task.endsAt) {
                lab.done(task.step);
                exit(task, "done");
            }
        }
    }

    private void expire() {
        if (System.nanoTime() - renewedAt <= lab.leaseS * 1e9) return;
        if (!tasks.isEmpty()) lab.log(host, "kills its tasks: the lease of session " + session + " is over");
        tasks.values().forEach(this::leave);
        tasks.clear();
        session++;
        renewedAt = System.nanoTime();
        changed = true;
    }

    private void exit(Task task, String cause) {
        leave(task);
        task.status = "exited";
        task.cause = cause;
        changed = true;
        lab.log(host, task.step + " try " + task.attempt + " exits: " + cause);
    }

    private Map<String, Object> state() {
        List<Object> steps = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("step", task.step);
            fields.put("try", task.attempt);
            fields.put("status", task.status);
            if (task.cause != null) fields.put("cause", task.cause);
            steps.add(fields);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("host", host);
        fields.put("endpoint", endpoint);
        fields.put("flavor", type.sku());
        fields.put("hall", hall);
        fields.put("standby", spot);
        fields.put("shift", session);
        fields.put("tick", ++tick);
        fields.put("epoch", token);
        fields.put("warningS", noticeEnds == Long.MAX_VALUE ? null
            : (Object) Math.max(0.0, (noticeEnds - System.nanoTime()) / 1e9));
        fields.put("steps", steps);
        return fields;
    }

    private void report() {
        Map<String, Object> report;
        long sentAt;
        long sentSession;
        synchronized (this) {
            expire();
            changed = false;
            report = state();
            sentAt = System.nanoTime();
            sentSession = session;
        }
        Controller target = lab.controllers.get(node % lab.controllers.size());
        Http.Answer answer = Http.call(target.address, "POST", "/agent/beat", report, Duration.ofSeconds(4));
        if (!alive) return;
        if (answer != null && answer.status() == 200) {
            synchronized (this) {
                Object epoch = answer.fields().get("epoch");
                expire();
                if (session != sentSession || !(epoch instanceof Long given) || given < token) return;
                renewedAt = sentAt;
                execute(given, (List<?>) answer.fields().get("orders"));
            }
            return;
        }
        int named = answer != null && answer.status() == 421 ? lab.indexOf(answer.text("supervisor")) : -1;
        if (named >= 0 && named != node % lab.controllers.size()) {
            node = named;
            return;
        }
        node++;
        Lab.sleep(1000);
    }

    private synchronized Http.Answer handle(Http.Request request) {
        if (!alive) return Http.Answer.NONE;
        expire();
        if (request.path().equals("/show")) return Http.Answer.of(200, state());
        Map<String, Object> body = Cbor.map(request.body());
        if (!(body.get("epoch") instanceof Long epoch) || !(body.get("shift") instanceof Long shift)) {
            return Http.Answer.of(400, Map.of("error", "epoch or shift is missing"));
        }
        if (epoch < token || shift != session) return Http.Answer.of(409, state());
        execute(epoch, (List<?>) body.get("orders"));
        return Http.Answer.of(200, state());
    }

    private void execute(long given, List<?> orders) {
        if (given > token) changed = true;
        token = given;
        for (Object order : orders) {
            Map<?, ?> fields = (Map<?, ?>) order;
            String step = (String) fields.get("step");
            long attempt = (Long) fields.get("try");
            String key = step + "#" + attempt;
            Task task = tasks.get(key);
            switch ((String) fields.get("verb")) {
                case "run" -> {
                    if (task == null) begin(key, step, attempt);
                }
                case "stop" -> {
                    if (task != null && task.live()) exit(task, "stopped");
                }
                case "clear" -> {
                    if (task != null && !task.live()) tasks.remove(key);
                }
                default -> throw new IllegalArgumentException("verb");
            }
        }
    }

    private void begin(String key, String step, long attempt) {
        Map<String, Object> job = lab.jobs.get(step.substring(0, step.lastIndexOf('/')));
        Task task = new Task(step, attempt, job);
        boolean busy = tasks.values().stream().anyMatch(other -> other.step.equals(step) && other.live());
        tasks.put(key, task);
        changed = true;
        lab.log(host, "is told to run " + step + " try " + attempt);
        if (job == null) {
            exit(task, "no_such");
        } else if (busy) {
            exit(task, "busy");
        } else if (!hasRoom()) {
            exit(task, "no_room");
        } else {
            task.runsFrom = System.nanoTime() + (long) (Lab.number(job, "sizeGb") / type.fetchGbPerS() * 1e9);
        }
    }

    /** The cores that no task on the machine takes. */
    synchronized double freeCores() {
        return type.cores() - tasks.values().stream().filter(task -> task.live() && task.job != null)
            .mapToDouble(task -> Lab.number(task.job, "cores")).sum();
    }

    /** The memory that no task on the machine takes. */
    synchronized double freeMemoryGb() {
        return type.memoryGb() - tasks.values().stream().filter(task -> task.live() && task.job != null)
            .mapToDouble(task -> Lab.number(task.job, "memoryGb")).sum();
    }

    private boolean hasRoom() {
        double cores = 0;
        double gpus = 0;
        double memory = 0;
        for (Task task : tasks.values()) {
            if (!task.live() || task.job == null) continue;
            cores += Lab.number(task.job, "cores");
            gpus += Lab.number(task.job, "gpus");
            memory += Lab.number(task.job, "memoryGb");
        }
        return cores <= type.cores() + 1e-6 && gpus <= type.gpus() + 1e-6 && memory <= type.memoryGb() + 1e-6;
    }
}
