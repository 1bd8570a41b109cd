package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.NamedThreads;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * One soak run: starts nodes, injects the faults of a seed under load and checks the invariants.
 *
 * <pre>{@code
 * Soak.Result result = Soak.builder(directory).seed(7).build().run();
 * }</pre>
 */
final class Soak {
    /** Time after the last fault within which the mesh must have recovered. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long RECOVERY_CHECK_MILLIS = 3_000;
    private static final long FAULT_FREE_START_MILLIS = 3_000;

    /** Maximum share of failed calls after the recovery. */
    private static final double MAX_FAILED_SHARE = 0.01;

    private static final int SUCCESS = 200;

    private final long seed;
    private final int nodes;
    private final long faultsMillis;
    private final boolean addedKinds;
    private final boolean oddKinds;
    private final boolean stutterKinds;
    private final Path directory;
    private final Clock clock;

    private Soak(Builder builder) {
        seed = builder.seed;
        nodes = builder.nodes;
        faultsMillis = builder.faultsMillis;
        addedKinds = builder.addedKinds;
        oddKinds = builder.oddKinds;
        stutterKinds = builder.stutterKinds;
        directory = builder.directory;
        clock = builder.clock;
    }

    /**
     * The result of a run.
     *
     * @param violations violated invariants; empty if all held
     * @param calls number of calls
     * @param served number of calls that succeeded
     */
    record Result(
            List<String> violations,
            List<Observations.Disturbance> faults,
            int calls,
            int served) {}

    /**
     * Executes the run.
     *
     * @throws SoakException if the run could not be set up
     */
    Result run() throws SoakException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom planRandom = random.split();
        Observations observations = new Observations(clock);
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(NamedThreads.daemon("soak"));
        Stutter stutter =
                stutterKinds
                        ? new Stutter(
                                new SplittableRandom(seed), new TaggedCalls(clock, observations))
                        : null;
        try (Fleet fleet =
                new Fleet(seed, nodes, directory, clock, observations, random.split(), stutter)) {
            fleet.start();
            Load callers = load(fleet, stutter, observations, timer, random.split());
            callers.start();
            List<FaultPlan.Entry> plan =
                    new ArrayList<>(FaultPlan.draw(planRandom, nodes, faultsMillis));
            if (addedKinds) {
                plan.addAll(FaultPlan.drawAdded(random.split(), nodes, faultsMillis));
            }
            if (oddKinds) {
                plan.addAll(FaultPlan.drawOdd(random.split(), nodes, faultsMillis));
            }
            if (stutter != null) {
                plan.addAll(FaultPlan.drawStutter(random.split(), nodes, faultsMillis));
            }
            TimeUnit.MILLISECONDS.sleep(FAULT_FREE_START_MILLIS);
            long endMillis = FAULT_FREE_START_MILLIS;
            for (FaultPlan.Entry entry : plan) {
                schedule(entry, fleet, observations, timer);
                endMillis = Math.max(endMillis, entry.atMillis() + entry.durationMillis());
            }
            TimeUnit.MILLISECONDS.sleep(endMillis);
            if (stutter != null) {
                stutter.stop();
                observations.add(
                        new Observations.Disturbance(
                                "stutter",
                                false,
                                Observations.ALL,
                                0,
                                observations.nowMillis() + Route.DEADLINE_MILLIS));
            }
            TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
            long recoveredMillis = observations.nowMillis();
            TimeUnit.MILLISECONDS.sleep(RECOVERY_CHECK_MILLIS);
            callers.stop();
            checkRecovery(fleet, observations, recoveredMillis);
            return result(observations);
        } catch (KernelException | IOException e) {
            throw new SoakException("the run could not be set up", e);
        } finally {
            timer.shutdownNow();
        }
    }

    private static Load load(
            Fleet fleet,
            @Nullable Stutter stutter,
            Observations observations,
            ScheduledExecutorService timer,
            SplittableRandom random) {
        return stutter == null
                ? new Callers(fleet.callAddresses(), observations, timer, random)
                : new TaggedCallers(fleet.callAddresses(), stutter, timer, random);
    }

    private static void schedule(
            FaultPlan.Entry entry,
            Fleet fleet,
            Observations observations,
            ScheduledExecutorService timer) {
        Fault fault = entry.fault();
        AtomicLong beganMillis = new AtomicLong();
        timer.schedule(
                () -> {
                    beganMillis.set(observations.nowMillis());
                    fault.begin().accept(fleet, entry.target());
                },
                entry.atMillis(),
                TimeUnit.MILLISECONDS);
        timer.schedule(
                () -> {
                    fault.end().accept(fleet, entry.target());
                    observations.add(
                            new Observations.Disturbance(
                                    fault.name(),
                                    fault.planned(),
                                    fault.meshWide() ? Observations.ALL : entry.target(),
                                    beganMillis.get(),
                                    observations.nowMillis()));
                },
                entry.atMillis() + entry.durationMillis(),
                TimeUnit.MILLISECONDS);
    }

    private static void checkRecovery(
            Fleet fleet, Observations observations, long recoveredMillis) {
        for (int i = 0; i < fleet.size(); i++) {
            if (!fleet.member(i).process().isServing()) {
                observations.finding("RECOVERY: node-" + i + " is not running");
            }
        }
        List<Observations.Call> sentAfterRecovery =
                observations.calls().stream()
                        .filter(call -> call.sentMillis() >= recoveredMillis)
                        .filter(call -> call.outcome() != Observations.Outcome.CALLER_LEFT)
                        .toList();
        List<Observations.Call> failed =
                sentAfterRecovery.stream().filter(call -> call.status() != SUCCESS).toList();
        if (sentAfterRecovery.isEmpty()
                || failed.size() > MAX_FAILED_SHARE * sentAfterRecovery.size()) {
            observations.finding(
                    "RECOVERY: of %d calls sent after the recovery period, these failed: %s"
                            .formatted(sentAfterRecovery.size(), failed));
        }
    }

    private static Result result(Observations observations) {
        List<Observations.Call> calls = observations.calls();
        long served = calls.stream().filter(call -> call.status() == SUCCESS).count();
        return new Result(
                InvariantChecker.violations(observations),
                observations.disturbances(),
                calls.size(),
                (int) served);
    }

    /** Returns a builder; settings and logs of the nodes are written to the directory. */
    static Builder builder(Path directory) {
        return new Builder(directory);
    }

    /** Builds a {@link Soak}. */
    static final class Builder {
        private final Path directory;
        private long seed = 1;
        private int nodes = 6;
        private long faultsMillis = 15_000;
        private boolean addedKinds;
        private boolean oddKinds;
        private boolean stutterKinds;
        private Clock clock = Clock.system();

        private Builder(Path directory) {
            this.directory = Objects.requireNonNull(directory, "directory");
        }

        /** Sets the seed of the faults and of the load. */
        Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Sets the number of nodes, each with a backend server. */
        Builder nodes(int value) {
            nodes = value;
            return this;
        }

        /** Sets the length of the period in which faults start, in milliseconds. */
        Builder faultsMillis(long value) {
            faultsMillis = value;
            return this;
        }

        /** Sets whether limits of servers and restores of the store are drawn too. */
        Builder addedKinds(boolean value) {
            addedKinds = value;
            return this;
        }

        /** Sets whether requests that end servers, odd rows and odd answers are drawn too. */
        Builder oddKinds(boolean value) {
            oddKinds = value;
            return this;
        }

        /** Sets whether servers stutter, fail and call others, and addresses change hands. */
        Builder stutterKinds(boolean value) {
            stutterKinds = value;
            return this;
        }

        /** Sets the clock. */
        Builder clock(Clock source) {
            clock = source;
            return this;
        }

        Soak build() {
            return new Soak(this);
        }
    }
}
