package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.NamedThreads;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One run: starts nodes, injects the faults of a seed under load, and checks the promises.
 *
 * <pre>{@code
 * Soak.Result result = Soak.builder(directory).seed(7).build().play();
 * }</pre>
 */
final class Soak {
    /** Calls are all served again this long after the last fault. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long FULLY_SERVED_MILLIS = 3_000;
    private static final long CALM_START_MILLIS = 3_000;

    /** Share of calls that may fail once the recovery is over. */
    private static final double FAILED_SHARE = 0.01;

    private static final int SUCCESS = 200;

    private final long seed;
    private final int nodes;
    private final long faultsMillis;
    private final Path directory;
    private final Clock clock;

    private Soak(Builder builder) {
        seed = builder.seed;
        nodes = builder.nodes;
        faultsMillis = builder.faultsMillis;
        directory = builder.directory;
        clock = builder.clock;
    }

    /**
     * What came of a run.
     *
     * @param broken broken promises; empty if all were kept
     * @param calls number of calls
     * @param served number of calls that succeeded
     */
    record Result(
            List<String> broken, List<Observations.Disturbance> faults, int calls, int served) {}

    /**
     * Plays the run.
     *
     * @throws SoakException if it could not be played
     */
    Result play() throws SoakException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom planned = random.split();
        Observations seen = new Observations(clock);
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(NamedThreads.daemon("soak"));
        try (Fleet fleet = new Fleet(seed, nodes, directory, clock, seen, random.split())) {
            fleet.start();
            Callers callers = new Callers(fleet.callAddresses(), seen, timer, random.split());
            callers.start();
            TimeUnit.MILLISECONDS.sleep(CALM_START_MILLIS);
            long endMillis = CALM_START_MILLIS;
            for (FaultPlan.Entry entry : FaultPlan.draw(planned, nodes, faultsMillis)) {
                schedule(entry, fleet, seen, timer);
                endMillis = Math.max(endMillis, entry.atMillis() + entry.durationMillis());
            }
            TimeUnit.MILLISECONDS.sleep(endMillis + RECOVERY_MILLIS);
            long recoveredMillis = seen.nowMillis();
            TimeUnit.MILLISECONDS.sleep(FULLY_SERVED_MILLIS);
            callers.stop();
            checkRecovery(fleet, seen, recoveredMillis);
            return result(seen);
        } catch (KernelException | IOException e) {
            throw new SoakException("the run could not be set up", e);
        } finally {
            timer.shutdownNow();
        }
    }

    private static void schedule(
            FaultPlan.Entry entry, Fleet fleet, Observations seen, ScheduledExecutorService timer) {
        Fault fault = entry.fault();
        AtomicLong beganMillis = new AtomicLong();
        timer.schedule(
                () -> {
                    beganMillis.set(seen.nowMillis());
                    fault.begin().accept(fleet, entry.target());
                },
                entry.atMillis(),
                TimeUnit.MILLISECONDS);
        timer.schedule(
                () -> {
                    fault.end().accept(fleet, entry.target());
                    seen.add(
                            new Observations.Disturbance(
                                    fault.name(),
                                    fault.planned(),
                                    fault.wide() ? Observations.ALL : entry.target(),
                                    beganMillis.get(),
                                    seen.nowMillis()));
                },
                entry.atMillis() + entry.durationMillis(),
                TimeUnit.MILLISECONDS);
    }

    private static void checkRecovery(Fleet fleet, Observations seen, long recoveredMillis) {
        for (int i = 0; i < fleet.size(); i++) {
            if (!fleet.member(i).process().serves()) {
                seen.finding("RECOVERY: node-" + i + " does not run");
            }
        }
        List<Observations.Call> due =
                seen.calls().stream()
                        .filter(call -> call.sentMillis() >= recoveredMillis)
                        .filter(call -> call.outcome() != Observations.Outcome.CALLER_LEFT)
                        .toList();
        List<Observations.Call> failed =
                due.stream().filter(call -> call.status() != SUCCESS).toList();
        if (due.isEmpty() || failed.size() > FAILED_SHARE * due.size()) {
            seen.finding(
                    "RECOVERY: of %d calls after the recovery these failed: %s"
                            .formatted(due.size(), failed));
        }
    }

    private static Result result(Observations seen) {
        List<Observations.Call> calls = seen.calls();
        long served = calls.stream().filter(call -> call.status() == SUCCESS).count();
        return new Result(Promises.broken(seen), seen.disturbances(), calls.size(), (int) served);
    }

    /** Returns a builder; the directory takes the settings and logs of the nodes. */
    static Builder builder(Path directory) {
        return new Builder(directory);
    }

    /** Builds a {@link Soak}. */
    static final class Builder {
        private final Path directory;
        private long seed = 1;
        private int nodes = 6;
        private long faultsMillis = 15_000;
        private Clock clock = Clock.system();

        private Builder(Path directory) {
            this.directory = Objects.requireNonNull(directory, "directory");
        }

        /** Sets the seed of the faults and of the load. */
        Builder seed(long used) {
            seed = used;
            return this;
        }

        /** Sets the number of nodes, each with a backend server. */
        Builder nodes(int used) {
            nodes = used;
            return this;
        }

        /** Sets the time within which faults begin, in milliseconds. */
        Builder faultsMillis(long used) {
            faultsMillis = used;
            return this;
        }

        /** Sets the clock. */
        Builder clock(Clock used) {
            clock = used;
            return this;
        }

        Soak build() {
            return new Soak(this);
        }
    }
}
