package review;

import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment on the loopback interface: real controllers, and stand-ins for everything around them. */
final class Lab {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int CANNOT_RUN = 2;
    private static final Duration SUBMIT_WAIT = Duration.ofSeconds(5);
    private static final Duration POLL_WAIT = Duration.ofSeconds(2);

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final List<Controller> controllers = new ArrayList<>();
    final double reportS;
    final double leaseS;
    private final Map<String, Double> runTimes = new ConcurrentHashMap<>();
    private final Set<String> done = ConcurrentHashMap.newKeySet();
    private final Map<String, Set<String>> onMachines = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Path folder;
    private final PrintWriter record;
    private final long began = System.nanoTime();
    StateService state;
    CloudService cloud;

    /** Writes the record into the folder of the case. */
    Lab(String caseFolder, double reportS, double leaseS) throws Exception {
        this.reportS = reportS;
        this.leaseS = leaseS;
        folder = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread watchdog = new Thread(() -> {
            sleep(118_000);
            log("lab", "the time is over");
            Runtime.getRuntime().exit(CANNOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        log("lab", trouble ? "with the trouble" : "without the trouble");
    }

    private void close() {
        controllers.forEach(Controller::kill);
        try (var files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
            } else {
                System.err.println("kept: " + folder);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        record.flush();
    }

    double seconds() {
        return (System.nanoTime() - began) / 1e9;
    }

    synchronized void log(String who, String what) {
        record.printf("%8.3f %-10s %s%n", seconds(), who, what);
        record.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts the controllers with the deployment section of a settings file, and waits until all are healthy. */
    void startControllers(List<String> zones, String deployment) throws Exception {
        List<Integer> ports = freePorts(2 * zones.size());
        for (int i = 0; i < zones.size(); i++) {
            StringBuilder text = new StringBuilder();
            text.append("member = \"worker-%d\"%narea = \"%s\"%nbind = \"127.0.0.1:%d\"%nmesh_addr = \"127.0.0.1:%d\"%n"
                .formatted(i, zones.get(i), ports.get(2 * i), ports.get(2 * i + 1)));
            for (int j = 0; j < zones.size(); j++) {
                if (j == i) continue;
                text.append("[[seeds]]%nmember = \"worker-%d\"%narea = \"%s\"%naddress = \"127.0.0.1:%d\"%n"
                    .formatted(j, zones.get(j), ports.get(2 * j + 1)));
            }
            Controller controller = new Controller(this, "worker-" + i, "127.0.0.1:" + ports.get(2 * i),
                folder.resolve("worker-" + i + ".log"));
            controller.stateLink = new Link(state.front(controller.calls));
            text.append("[outside]%ncloud = \"%s\"%nstate = \"%s\"%n"
                .formatted(cloud.address, controller.stateLink.address));
            text.append(deployment);
            controller.settings(Files.writeString(folder.resolve("worker-" + i + ".toml"), text));
            controllers.add(controller);
        }
        for (Controller controller : controllers) controller.start();
        Http.start(this::probe);
        long until = System.nanoTime() + 20_000_000_000L;
        while (!controllers.stream().allMatch(c -> c.healthy) || state.data("leader") == null) {
            if (System.nanoTime() > until) throw new IllegalStateException("the controllers do not start");
            sleep(50);
        }
        log("lab", "the controllers are healthy; leader: " + leader());
    }

    private void probe() {
        while (true) {
            for (Controller controller : controllers) {
                Http.Answer answer = Http.call(controller.address, "GET", "/healthz", null, Duration.ofSeconds(1));
                controller.healthy = answer != null && answer.status() == 200;
            }
            sleep(500);
        }
    }

    private static List<Integer> freePorts(int count) throws Exception {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    int indexOf(String member) {
        for (int i = 0; i < controllers.size(); i++) if (controllers.get(i).member.equals(member)) return i;
        return -1;
    }

    /** The member that the state service has as the leader, or null. */
    String leader() {
        Map<String, Object> data = state.data("leader");
        return data == null ? null : (String) data.get("member");
    }

    private Controller route(int turn) {
        List<Controller> healthy = controllers.stream().filter(c -> c.healthy).toList();
        List<Controller> among = healthy.isEmpty() ? controllers : healthy;
        return among.get(turn % among.size());
    }

    /** Submits a job as the page says, for up to 60 s; the last status, or 0 without an answer. */
    int submit(Map<String, Object> job, double runS) {
        return submit(job, runS, 0);
    }

    /** The same, to the controllers in turn from the given one. */
    int submit(Map<String, Object> job, double runS, int first) {
        String id = (String) job.get("uid");
        jobs.put(id, job);
        runTimes.put(id, runS);
        long until = System.nanoTime() + 60_000_000_000L;
        int status = 0;
        for (int turn = first; System.nanoTime() < until; turn++) {
            Controller node = route(turn);
            Http.Answer answer = Http.call(node.address, "POST", "/submissions", job, SUBMIT_WAIT);
            status = answer == null ? 0 : answer.status();
            log("user", "submits " + id + " to " + node.member + ": " + describe(answer));
            if (status == 200 || status == 201 || status == 400 || status == 422) return status;
            sleep(answer == null ? 1000 : Math.max(1000, answer.retryAfter() * 1000L));
        }
        return status;
    }

    /** Asks for a job once; the answer, or null. */
    Http.Answer poll(String id, int turn) {
        Controller node = route(turn);
        Http.Answer answer = Http.call(node.address, "GET", "/submissions/" + id, null, POLL_WAIT);
        log("user", "asks " + node.member + " for " + id + ": " + describe(answer));
        return answer;
    }

    static String describe(Http.Answer answer) {
        return answer == null ? "no answer" : answer.status() + " " + answer.fields();
    }

    static double number(Map<String, Object> fields, String name) {
        return ((Number) fields.get(name)).doubleValue();
    }

    /** The run time of a task in seconds. */
    double runS(String step) {
        return runTimes.get(step.substring(0, step.lastIndexOf('/')));
    }

    boolean isDone(String step) {
        return done.contains(step);
    }

    void done(String step) {
        done.add(step);
    }

    synchronized void started(Worker worker, String step, long attempt) {
        Set<String> hosts = onMachines.computeIfAbsent(step, key -> new HashSet<>());
        log(worker.host, step + " try " + attempt + " runs" + (hosts.isEmpty() ? "" : " while it is on " + hosts));
        hosts.add(worker.host);
        starts.merge(step, 1, Integer::sum);
    }

    synchronized void left(Worker worker, String step) {
        onMachines.getOrDefault(step, new HashSet<>()).remove(worker.host);
    }

    /** How often the task has run so far. */
    synchronized int starts(String step) {
        return starts.getOrDefault(step, 0);
    }

    /** Whether the task is on a machine now. */
    synchronized boolean isOnMachine(String step) {
        return !onMachines.getOrDefault(step, Set.of()).isEmpty();
    }

    /** Waits for a condition, for at most that many seconds. */
    boolean await(double seconds, java.util.function.BooleanSupplier condition) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) return false;
            sleep(50);
        }
        return true;
    }

    /** A job's fields with common values, to be changed by the caller. */
    static Map<String, Object> job(String id, String queue, String team) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", id);
        job.put("queue", queue);
        job.put("owner", team);
        job.put("shape", "sweep");
        job.put("rank", "normal");
        job.put("steps", 1);
        job.put("cores", 1.0);
        job.put("gpus", 0.0);
        job.put("memoryGb", 1.0);
        job.put("bundle", "img-1");
        job.put("sizeGb", 0.5);
        job.put("flavors", null);
        job.put("hall", null);
        job.put("oneZone", false);
        job.put("spread", false);
        job.put("standby", true);
        job.put("expectS", 30.0);
        job.put("snapshotS", 0.0);
        job.put("flushS", 0.0);
        job.put("dueS", null);
        return job;
    }
}
