package dev.zinniaring.accounts;

import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Nodes that share one account's quota, under a manual clock and random arrivals. */
final class QuotaFleet {
    static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(5), 0.1, 20);

    private static final int STEP_MILLIS = 10;
    private static final int REPORT_MILLIS = 500;

    final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random;
    private final int nodeCount;
    private final List<QuotaShares> nodes = new ArrayList<>();
    private Account account;
    private @Nullable QuotaCoordinator coordinator;

    /** Nodes that reach the coordinator. */
    private IntPredicate reaches = node -> true;

    private final List<Integer> admittedPerStep = new ArrayList<>();
    int wanted;
    int admitted;

    QuotaFleet(int nodeCount, Quota quota, long seed) {
        this.nodeCount = nodeCount;
        this.random = new SplittableRandom(seed);
        this.account = new Account("a", 0, quota);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new QuotaShares(clock, random.split(), () -> nodeCount));
        }
        startCoordinator();
        run(Duration.ofSeconds(10), 0);
    }

    void startCoordinator() {
        coordinator = new QuotaCoordinator(clock, this::table, () -> nodeCount, TOLERANCE);
    }

    void stopCoordinator() {
        coordinator = null;
    }

    void cut(IntPredicate reachable) {
        reaches = reachable;
    }

    void quota(Quota quota) {
        account = new Account("a", 0, quota);
    }

    private AccountTable table() {
        AccountTable.Builder table = AccountTable.builder();
        table.add(account, List.of("k"));
        return table.build();
    }

    /** Plays arrivals at the given rate over all nodes, and counts those that are admitted. */
    void run(Duration time, double perSecond) {
        wanted = 0;
        admitted = 0;
        for (long millis = 0; millis < time.toMillis(); millis += STEP_MILLIS) {
            clock.advance(Duration.ofMillis(STEP_MILLIS));
            int before = admitted;
            for (int arrivals = poisson(perSecond * STEP_MILLIS / 1_000);
                    arrivals > 0;
                    arrivals--) {
                wanted++;
                admitted += nodes.get(random.nextInt(nodeCount)).tryAdmit(account) ? 1 : 0;
            }
            admittedPerStep.add(admitted - before);
            for (int node = 0; node < nodeCount; node++) {
                long phase = (long) node * REPORT_MILLIS / nodeCount;
                if ((clock.nanos() / 1_000_000L + phase) % REPORT_MILLIS < STEP_MILLIS) {
                    report(node);
                }
            }
        }
    }

    private void report(int node) {
        Map<String, AccountUsage> usage = nodes.get(node).takeUsage();
        QuotaCoordinator reached = coordinator;
        if (reached == null || !reaches.test(node)) {
            nodes.get(node).returnUsage(usage);
            return;
        }
        reached.report("n" + node, usage);
        nodes.get(node).answered(ClockReading.of(clock), reached.fractions());
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble();
                product > limit;
                product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    /** Returns the most calls that were admitted in any window of the tolerance. */
    int mostInAWindow() {
        int steps = (int) TOLERANCE.window().toMillis() / STEP_MILLIS;
        int sum = 0;
        int most = 0;
        for (int i = 0; i < admittedPerStep.size(); i++) {
            sum += admittedPerStep.get(i);
            sum -= i >= steps ? admittedPerStep.get(i - steps) : 0;
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Returns the calls that the account may make in a window. */
    static double allowed(Quota quota) {
        double windowSeconds = TOLERANCE.window().toSeconds();
        return (quota.perSecond() * windowSeconds + quota.burst()) * (1 + TOLERANCE.overage())
                + TOLERANCE.slackCalls();
    }
}
