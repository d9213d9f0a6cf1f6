package lab2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for a worker: reports, leases, sessions, tokens and commands as the protocol's page has them. Its images
 * are there at once, but for the time that {@link Lab#fetchMs} gives.
 */
public final class Worker {
    /** One start of a task. */
    public static final class Task {
        public final String step;
        public final long attempt;
        public String status;
        public String cause;
        public boolean stored;
        long until;

        Task(String step, long attempt) {
            this.step = step;
            this.attempt = attempt;
        }

        boolean live() {
            return !status.equals("exited");
        }

        public boolean onMachine() {
            return live() && !status.equals("pulling");
        }
    }

    private final Lab lab;
    public final String host;
    public final Site.Type type;
    public final String zone;
    public final boolean spot;
    public final long rentedAt = Record.now();
    public String endpoint;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private boolean up;
    private boolean ended;
    private boolean changed;
    private long session = 1;
    private long tick = 0;
    private long token = 0;
    private long leaseFrom;
    private int target = 0;

    /** Whether its reports reach no controller, and nothing reaches it. */
    public volatile boolean cut;

    Worker(Lab lab, String host, Site.Type type, String zone, boolean spot) {
        this.lab = lab;
        this.host = host;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
    }

    void boot(long delayMs) throws Exception {
        endpoint = Http.LOOPBACK + ":" + Http.serve(this::respond);
        thread(() -> {
            Lab.sleep(delayMs);
            synchronized (this) {
                up = true;
                leaseFrom = Record.now();
            }
            Record.line(host, "is up");
            thread(this::run);
            report();
        });
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    public synchronized boolean isUp() {
        return up;
    }

    /** The machine is gone with all that is on it. */
    public synchronized void end() {
        ended = true;
        for (Task task : tasks.values()) if (task.live()) exit(task, "machine gone", false);
        tasks.clear();
    }

    /** The tasks that are on the machine, by the rule's definition: from the image to the exit. */
    public synchronized List<Task> onMachine() {
        expire();
        return tasks.values().stream().filter(Task::onMachine).toList();
    }

    private void run() {
        while (true) {
            Lab.sleep(20);
            synchronized (this) {
                if (ended) return;
                expire();
                for (Task task : new ArrayList<>(tasks.values())) advance(task);
            }
        }
    }

    private void expire() {
        if (!up || ended || Record.now() - leaseFrom <= lab.site.leaseS * 1000) return;
        Record.line(host, "lease over, session " + session + " ends");
        for (Task task : tasks.values()) if (task.live()) exit(task, "lease over", false);
        tasks.clear();
        session++;
        leaseFrom = Record.now();
        changed = true;
    }

    private void advance(Task task) {
        if (!task.live() || Record.now() < task.until) return;
        switch (task.status) {
            case "pulling" -> begin(task);
            case "running" -> {
                lab.results.add(task.step);
                exit(task, "done", false);
            }
            case "saving" -> exit(task, "stopped", true);
            default -> { }
        }
    }

    private void begin(Task task) {
        Job job = lab.job(task.step);
        if (lab.results.contains(task.step)) {
            exit(task, "done", false);
            return;
        }
        if (job.gang() && job.steps() > 1) {
            task.status = "waiting";
            task.until = Long.MAX_VALUE;
        } else {
            task.status = "running";
            task.until = job.service() ? Long.MAX_VALUE : Record.now() + (long) (job.runS * 1000);
        }
        changed = true;
        Record.line(host, task.step + " try " + task.attempt + " is on the machine, " + task.status);
        lab.started(this, task);
    }

    /** A gang of which all tasks are there begins to run. */
    synchronized void runGang(String job, long attempt, double runS) {
        for (Task task : tasks.values()) {
            if (task.attempt != attempt || !task.step.startsWith(job + "/") || !task.status.equals("waiting")) continue;
            task.status = "running";
            task.until = Record.now() + (long) (runS * 1000);
            changed = true;
        }
    }

    private void exit(Task task, String cause, boolean stored) {
        Record.line(host, task.step + " try " + task.attempt + " exits: " + cause);
        task.status = "exited";
        task.cause = cause;
        task.stored = stored;
        changed = true;
    }

    private double used(String field) {
        double sum = 0;
        for (Task task : tasks.values()) if (task.live()) sum += lab.job(task.step).number(field);
        return sum;
    }

    private boolean fits(Job job) {
        return used("cores") + job.number("cores") <= type.cpus() + 1e-6
            && used("gpus") + job.number("gpus") <= type.gpus() + 1e-6
            && used("memoryGb") + job.number("memoryGb") <= type.memoryGb() + 1e-6;
    }

    @SuppressWarnings("unchecked")
    private void execute(long epoch, List<Object> orders, String how) {
        if (epoch > token) {
            token = epoch;
            changed = true;
        }
        for (Object o : orders) {
            Map<String, Object> order = (Map<String, Object>) o;
            String step = (String) order.get("step");
            long attempt = (Long) order.get("try");
            String key = step + "#" + attempt;
            Task task = tasks.get(key);
            Record.line(host, how + ": " + order);
            switch ((String) order.get("verb")) {
                case "run" -> {
                    if (task == null) start(key, step, attempt);
                }
                case "stop" -> {
                    if (task != null && task.live()) stop(task, ((Number) order.get("drainS")).doubleValue());
                }
                case "clear" -> {
                    if (task != null && !task.live()) tasks.remove(key);
                }
                default -> { }
            }
        }
    }

    private void start(String key, String step, long attempt) {
        Task task = new Task(step, attempt);
        Job job = lab.job(step);
        String refusal = null;
        if (job == null) refusal = "no_such";
        else if (tasks.values().stream().anyMatch(t -> t.live() && t.step.equals(step))) refusal = "busy";
        else if (!fits(job)) refusal = "no_room";
        task.status = refusal == null ? "pulling" : "exited";
        task.cause = refusal;
        task.until = Record.now() + lab.fetchMs;
        if (refusal != null) Record.line(host, step + " try " + attempt + " refused: " + refusal);
        tasks.put(key, task);
        changed = true;
    }

    private void stop(Task task, double drainS) {
        Job job = lab.job(task.step);
        double flush = job.number("flushS");
        boolean mayEnd = drainS == 0 || !task.status.equals("saving");
        if (task.status.equals("running") && job.number("snapshotS") > 0 && drainS >= flush) {
            task.status = "saving";
            task.until = Record.now() + (long) (flush * 1000);
            changed = true;
            Record.line(host, task.step + " try " + task.attempt + " saves for " + flush + " s");
        } else if (mayEnd) {
            exit(task, "stopped", false);
        }
    }

    private Map<String, Object> body() {
        List<Object> steps = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> step = new LinkedHashMap<>();
            step.put("step", task.step);
            step.put("try", task.attempt);
            step.put("status", task.status);
            if (task.cause != null) step.put("cause", task.cause);
            if (task.stored) step.put("stored", true);
            steps.add(step);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("host", host);
        body.put("endpoint", endpoint);
        body.put("flavor", type.name());
        body.put("hall", zone);
        body.put("standby", spot);
        body.put("shift", session);
        body.put("tick", ++tick);
        body.put("epoch", token);
        body.put("warningS", null);
        body.put("steps", steps);
        return body;
    }

    @SuppressWarnings("unchecked")
    private Http.Response respond(Http.Request request) {
        synchronized (this) {
            if (ended || cut || !up) return null;
            expire();
            if (request.path.equals("/show")) return new Http.Response(200, body());
            if (!request.path.equals("/commands")) return new Http.Response(400, Map.of("error", "no such path"));
            Map<String, Object> command = request.map();
            if (command.get("epoch") == null || command.get("shift") == null) {
                return new Http.Response(400, Map.of("error", "epoch or shift is missing"));
            }
            long epoch = (Long) command.get("epoch");
            if (epoch < token || (Long) command.get("shift") != session) return new Http.Response(409, body());
            execute(epoch, (List<Object>) command.get("orders"), "direct");
            for (Task task : new ArrayList<>(tasks.values())) advance(task);
            return new Http.Response(200, body());
        }
    }

    private void report() {
        long nextAt = 0;
        while (true) {
            while (true) {
                synchronized (this) {
                    if (ended) return;
                    if (Record.now() >= nextAt || (changed && Record.now() >= nextAt - reportMs() + 500)) break;
                }
                Lab.sleep(20);
            }
            long sentAt = Record.now();
            nextAt = sentAt + reportMs();
            Map<String, Object> body;
            long sentSession;
            synchronized (this) {
                changed = false;
                expire();
                body = body();
                sentSession = session;
            }
            String address = lab.address(target);
            Http.Response response = cut ? null : Http.call("POST", address, "/agent/beat", body, 4000);
            if (!answered(response, sentAt, sentSession)) {
                Lab.sleep(1000);
                nextAt = 0;
            }
        }
    }

    private long reportMs() {
        return (long) (lab.site.reportS * 1000);
    }

    /** Handles the response to a report; false if the next node comes next, a second later. */
    @SuppressWarnings("unchecked")
    private synchronized boolean answered(Http.Response response, long sentAt, long sentSession) {
        if (response != null && response.status() == 200 && !cut) {
            expire();
            Long epoch = (Long) response.map().get("epoch");
            if (sentSession != session || epoch == null || epoch < token) return true;
            leaseFrom = sentAt;
            execute(epoch, (List<Object>) response.map().get("orders"), "answer");
            for (Task task : new ArrayList<>(tasks.values())) advance(task);
            return true;
        }
        Object supervisor = response == null || response.status() != 421 ? null : response.map().get("supervisor");
        int next = supervisor == null ? -1 : lab.site.members.indexOf(supervisor);
        if (next >= 0 && next != target) {
            target = next;
            changed = true;
            return true;
        }
        target = (target + 1) % lab.site.members.size();
        return false;
    }
}
