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

/** One node as a process of its own, started again after each end. Safe for several threads. */
final class NodeProcess {
    private static final Logger log = LoggerFactory.getLogger(NodeProcess.class);

    /** Signals are sent by the id of the process that this class started, to no other. */
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

    /** A process may need this much longer than its grace period on a busy machine. */
    private static final long EXIT_SLACK_MILLIS = 500;

    private final Path settings;
    private final Path output;
    private final long graceMillis;
    private final Clock clock;
    private final Consumer<String> findings;
    private @Nullable Process process;
    private boolean endAsked;
    private boolean paused;
    private boolean closed;
    private boolean startAfterEnd;
    private long endAskedNanos;

    /**
     * Creates a node that does not run yet.
     *
     * @param graceMillis time that the node may take to end after SIGTERM
     * @param findings takes what the process did that it may not do
     */
    NodeProcess(
            Path settings, Path output, long graceMillis, Clock clock, Consumer<String> findings) {
        this.settings = settings;
        this.output = output;
        this.graceMillis = graceMillis;
        this.clock = clock;
        this.findings = findings;
    }

    /** Starts the process, unless it runs; one that has been told to end is started after that. */
    synchronized void start() {
        if (closed || (process != null && process.isAlive())) {
            startAfterEnd = endAsked;
            return;
        }
        startAfterEnd = false;
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
            endAsked = false;
            paused = false;
            started.onExit().thenAccept(this::exited);
        } catch (IOException e) {
            findings.accept("node cannot be started: " + e.getMessage());
        }
    }

    private synchronized void exited(Process ended) {
        if (closed || !ended.equals(process)) {
            return;
        }
        if (!endAsked) {
            findings.accept("EXIT: a node ended by itself with status " + ended.exitValue());
            return;
        }
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - endAskedNanos);
        if (tookMillis > graceMillis + EXIT_SLACK_MILLIS) {
            findings.accept("EXIT: a node took " + tookMillis + " ms to end after SIGTERM");
        }
        if (startAfterEnd) {
            start();
        }
    }

    /** Sends SIGTERM; a paused process gets it when it runs on. */
    synchronized void terminate() {
        Process running = process;
        if (running != null && running.isAlive() && !endAsked) {
            endAsked = true;
            endAskedNanos = clock.nanos();
            running.destroy();
        }
    }

    /** Sends SIGKILL. */
    synchronized void kill() {
        Process running = process;
        if (running != null && running.isAlive()) {
            endAsked = true;
            endAskedNanos = clock.nanos();
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
            // The grace period of a process that was paused begins anew.
            endAskedNanos = clock.nanos();
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
            findings.accept("signal " + name + " could not be sent: " + e.getMessage());
        } catch (InterruptedException e) {
            log.info("interrupted while sending {}", name);
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the process runs and has not been told to end. */
    synchronized boolean serves() {
        return process != null && process.isAlive() && !endAsked && !paused;
    }

    /** Ends the process for good. */
    synchronized void close() {
        closed = true;
        Process running = process;
        if (running != null) {
            running.destroyForcibly();
        }
    }
}
