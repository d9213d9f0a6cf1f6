package lab2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A deployment on loopback: controllers as processes of the deploy file, and stand-ins for all around them. */
public final class Lab {
    /** The case couldn't run. */
    public static final class CannotRun extends RuntimeException {
        public CannotRun(String message) {
            super(message);
        }
    }

    /** A case ends by itself after this time. */
    private static final long LIMIT_MS = 115_000;

    public final Site site;
    public final State state = new State();
    public final Cloud cloud = new Cloud(this);
    public final Set<String> results = Collections.synchronizedSet(new HashSet<>());
    public volatile long fetchMs = 100;
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Process[] processes;
    private final int[] bind;
    private final List<String> command;
    private final Path folder;

    public Lab(Site site, Path record) throws Exception {
        this.site = site;
        Record.open(record);
        command = command();
        folder = Files.createTempDirectory("review");
        int n = site.members.size();
        processes = new Process[n];
        bind = new int[n];
        int[] mesh = new int[n];
        int[][] links = new int[n][];
        for (int i = 0; i < n; i++) {
            bind[i] = Http.freePort();
            mesh[i] = Http.freePort();
        }
        int cloudPort = cloud.serve();
        for (int i = 0; i < n; i++) {
            links[i] = mesh;
            int statePort = state.serve(site.members.get(i));
            Files.writeString(settings(i), site.settings(i, bind, mesh, links, statePort, cloudPort));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private Path settings(int i) {
        return folder.resolve(site.members.get(i) + ".toml");
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (!line.startsWith("run = ")) continue;
            String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            List<String> words = new ArrayList<>(List.of(text.split(" ")));
            words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
            return words;
        }
        throw new CannotRun("deploy/service.toml has no run command");
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    /** Starts all controllers and waits until one leads and all are healthy. */
    public void start() throws IOException {
        for (int i = 0; i < processes.length; i++) startMember(i);
        try {
            await("a leader and healthy controllers", 30_000, () -> state.leader() != null && allHealthy());
        } catch (CannotRun e) {
            Record.line("lab", "the leader is " + state.leader());
            for (int i = 0; i < processes.length; i++) {
                String health = text(Http.call("GET", address(i), "/healthz", null, 1000));
                Record.line("lab", site.members.get(i) + " at " + address(i) + " says " + health);
            }
            showLogs("");
            throw e;
        }
        Record.line("lab", state.leader() + " leads, all controllers are healthy");
    }

    private boolean allHealthy() {
        for (int i = 0; i < processes.length; i++) {
            if (!processes[i].isAlive()) {
                throw new CannotRun(site.members.get(i) + " ended with status " + processes[i].exitValue());
            }
            Http.Response response = Http.call("GET", address(i), "/healthz", null, 1000);
            if (response == null || response.status() != 200) return false;
        }
        return true;
    }

    public void startMember(int i) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(settings(i).toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        File log = folder.resolve(site.members.get(i) + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        processes[i] = builder.start();
        Record.line("lab", site.members.get(i) + " started");
    }

    public Process process(int i) {
        return processes[i];
    }

    public int leaderIndex() {
        return site.members.indexOf(state.leader());
    }

    /** Sends the controller's process a signal: STOP, CONT or KILL. */
    public void signal(int i, String name) throws Exception {
        Record.line("lab", "signal " + name + " to " + site.members.get(i));
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid())).start().waitFor();
    }

    public String address(int i) {
        return Http.LOOPBACK + ":" + bind[i];
    }

    public Job job(String step) {
        int slash = step.lastIndexOf('/');
        return jobs.get(slash < 0 ? step : step.substring(0, slash));
    }

    /** Waits for a condition that must hold for the case to run. */
    public static void await(String what, long ms, BooleanSupplier condition) {
        long end = Record.now() + ms;
        while (!condition.getAsBoolean()) {
            if (Record.now() > end) throw new CannotRun("not within " + ms + " ms: " + what);
            sleep(50);
        }
    }

    /** Submits the job through a controller as a user does, with repeats; returns the final status code. */
    public int submit(Job job, int via) {
        jobs.put(job.id(), job);
        return repeat("submits " + job.fields, via, "/submissions", job.fields);
    }

    /** Cancels the job as a user does, with repeats; returns the status that the user was told. */
    public String cancel(String id, int via) {
        for (int tries = 0; tries < 40; tries++) {
            Http.Response response = Http.call("POST", address(via), "/submissions/" + id + "/abort", null, 5000);
            Record.line("user", "cancels " + id + ": " + text(response));
            if (response != null && response.status() == 200) return (String) response.map().get("status");
            if (response != null && response.status() == 404) return null;
            sleep(1000);
            via = (via + 1) % processes.length;
        }
        throw new CannotRun("no answer to the cancellation of " + id);
    }

    private int repeat(String what, int via, String path, Object body) {
        for (int tries = 0; tries < 40; tries++) {
            Http.Response response = Http.call("POST", address(via), path, body, 5000);
            Record.line("user", what + ": " + text(response));
            int status = response == null ? 0 : response.status();
            if (status == 200 || status == 201 || status == 400 || status == 422) return status;
            sleep(1000);
            via = (via + 1) % processes.length;
        }
        throw new CannotRun("no answer");
    }

    /** Asks once; null without a response. */
    public Http.Response poll(String id, int via) {
        return Http.call("GET", address(via), "/submissions/" + id, null, 2000);
    }

    public static String text(Http.Response response) {
        return response == null ? "no response" : response.status() + " " + response.body();
    }

    /** The tasks of the job that are on machines now, as "task on machine, status". */
    public List<String> onMachines(String job) {
        List<String> found = new ArrayList<>();
        for (Worker worker : workers()) {
            for (Worker.Task task : worker.onMachine()) {
                if (task.step.startsWith(job + "/")) found.add(task.step + " on " + worker.host + ", " + task.status);
            }
        }
        return found;
    }

    public List<Worker> workers() {
        synchronized (cloud) {
            return new ArrayList<>(cloud.machines.values());
        }
    }

    /** A task has its image; a gang whose tasks are all there begins. */
    void started(Worker worker, Worker.Task task) {
        Job job = job(task.step);
        if (!job.gang() || job.steps() == 1) return;
        Thread thread = new Thread(() -> {
            int there = 0;
            for (Worker w : workers()) {
                there += (int) w.onMachine().stream()
                    .filter(t -> t.attempt == task.attempt && t.step.startsWith(job.id() + "/")).count();
            }
            if (there < job.steps()) return;
            for (Worker w : workers()) w.runGang(job.id(), task.attempt, job.runS);
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Copies what the controllers logged to standard error, for whoever looks for the cause. */
    public void showLogs(String pattern) throws IOException {
        for (String member : site.members) {
            for (String line : Files.readAllLines(folder.resolve(member + ".log"))) {
                if (line.matches(".*(" + pattern + ").*")) System.err.println(member + " " + line);
            }
        }
    }

    /** Ends the processes and removes the folder. */
    public synchronized void close() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        for (Process process : processes) {
            try {
                if (process != null) process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // Nothing is left to remove.
        }
    }

    /** What a case does. Returns true if the rule held. */
    public interface Case {
        boolean run(boolean trouble) throws Exception;
    }

    /** Runs a case and ends the process with its status: 0 the rule held, 1 it was broken, 2 it couldn't run. */
    public static void main(Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Thread limit = new Thread(() -> {
            sleep(LIMIT_MS);
            Record.line("lab", "the case couldn't run: it took too long");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        int status;
        try {
            status = body.run(trouble) ? 0 : 1;
        } catch (Throwable e) {
            Record.line("lab", "the case couldn't run: " + e);
            e.printStackTrace();
            status = 2;
        }
        Record.line("lab", "exit " + status);
        System.exit(status);
    }
}
