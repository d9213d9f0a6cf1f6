package review;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One controller: the project's program, started by the command of the deploy file. */
final class Controller {
    final String member;
    final String address;
    final Path output;

    /** Its link to the state service. */
    Link stateLink;

    /** What it has asked the state service for. */
    final StateService.Calls calls = new StateService.Calls();
    private final List<String> command;
    private final Lab lab;
    private volatile Process process;
    volatile boolean healthy;

    Controller(Lab lab, String member, String address, Path output) throws Exception {
        this.lab = lab;
        this.member = member;
        this.address = address;
        this.output = output;
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        command = new ArrayList<>(Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
    }

    /** Sets the settings file, the last argument of the command. */
    void settings(Path file) {
        command.add(file.toString());
    }

    void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectInput(new File("/dev/null")).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        process = builder.start();
        lab.log(member, "starts");
    }

    void kill() {
        if (process == null) return;
        process.toHandle().destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
