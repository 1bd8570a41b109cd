package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node that runs as a separate process and can be restarted after each exit. Signals are sent
 * only to the id of the process that this class started. Thread-safe.
 */
final class NodeProcess {
    private static final Logger log = LoggerFactory.getLogger(NodeProcess.class);

    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-Xms16m",
                    "-Xmx28m",
                    "-Xmn8m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:MaxDirectMemorySize=32m",
                    "-Dio.netty.allocator.type=unpooled",
                    "-Dio.netty.eventLoopThreads=1",
                    "-Dio.netty.noPreferDirect=true");

    /** Tolerance beyond the grace period, for a busy machine. */
    private static final long EXIT_TOLERANCE_MILLIS = 500;

    private final Path settings;
    private final Path output;
    private final long graceMillis;
    private final Clock clock;
    private final Consumer<String> findings;
    private @Nullable Process process;
    private boolean exitRequested;
    private boolean paused;
    private boolean closed;
    private boolean restartAfterExit;
    private long exitRequestedNanos;

    /**
     * Creates a node without starting it.
     *
     * @param graceMillis time that the node may take to exit after SIGTERM
     * @param findings receives violations, such as an unexpected exit of the process
     */
    NodeProcess(
            Path settings, Path output, long graceMillis, Clock clock, Consumer<String> findings) {
        this.settings = settings;
        this.output = output;
        this.graceMillis = graceMillis;
        this.clock = clock;
        this.findings = findings;
    }

    /**
     * Starts the process unless it is running. One that was told to exit restarts after its exit.
     */
    synchronized void start() {
        if (closed || (process != null && process.isAlive())) {
            restartAfterExit = exitRequested;
            return;
        }
        restartAfterExit = false;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(
                List.of("dev.zinniaring.platform.SidecarMain", "--settings", settings.toString()));
        try {
            Process started =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(Redirect.appendTo(output.toFile()))
                            .start();
            process = started;
            exitRequested = false;
            paused = false;
            started.onExit().thenAccept(this::exited);
        } catch (IOException e) {
            findings.accept("node process could not be started: " + e.getMessage());
        }
    }

    private synchronized void exited(Process ended) {
        if (closed || !ended.equals(process)) {
            return;
        }
        if (!exitRequested) {
            findings.accept(
                    "EXIT: node process exited unexpectedly with status " + ended.exitValue());
            return;
        }
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - exitRequestedNanos);
        if (tookMillis > graceMillis + EXIT_TOLERANCE_MILLIS) {
            findings.accept("EXIT: node process took " + tookMillis + " ms to exit after SIGTERM");
        }
        if (restartAfterExit) {
            start();
        }
    }

    /** Sends SIGTERM; a paused process handles it after it is resumed. */
    synchronized void terminate() {
        Process running = process;
        if (running != null && running.isAlive() && !exitRequested) {
            exitRequested = true;
            exitRequestedNanos = clock.nanos();
            running.destroy();
        }
    }

    /** Sends SIGKILL. */
    synchronized void kill() {
        Process running = process;
        if (running != null && running.isAlive()) {
            exitRequested = true;
            exitRequestedNanos = clock.nanos();
            running.destroyForcibly();
        }
    }

    /** Sends SIGSTOP. */
    synchronized void pause() {
        paused = true;
        signal("STOP");
    }

    /** Sends SIGCONT. */
    synchronized void resume() {
        if (paused) {
            paused = false;
            // The grace period of a process restarts when it is resumed.
            exitRequestedNanos = clock.nanos();
            signal("CONT");
        }
    }

    /** Sends SIGHUP. */
    synchronized void reload() {
        signal("HUP");
    }

    private void signal(String name) {
        Process running = process;
        if (running == null || !running.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(running.pid()))
                    .inheritIO()
                    .start()
                    .waitFor(2, TimeUnit.SECONDS);
        } catch (IOException e) {
            findings.accept("SIG" + name + " could not be sent: " + e.getMessage());
        } catch (InterruptedException e) {
            log.info("interrupted while sending SIG{}", name);
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the process is running, not paused, and has not been told to exit. */
    synchronized boolean isServing() {
        return process != null && process.isAlive() && !exitRequested && !paused;
    }

    /** Kills the process and prevents further starts. */
    synchronized void close() {
        closed = true;
        Process running = process;
        if (running != null) {
            running.destroyForcibly();
        }
    }
}
