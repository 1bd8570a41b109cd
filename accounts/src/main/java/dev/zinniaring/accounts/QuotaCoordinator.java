package dev.zinniaring.accounts;

import dev.zinniaring.kernel.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the calls of each account within its quota over all nodes, from what the nodes report. Each
 * account has a token bucket that may go into debt, since nodes admit first and report afterwards;
 * an account is held back as far as its bucket and its demand require, and pays its debt first.
 * Nodes that do not report may admit their own part of each quota, which is left to them.
 *
 * <p>Only one node may be coordinator at a time; it starts with empty buckets, since it does not
 * know what was admitted before. Not thread-safe.
 */
public final class QuotaCoordinator {
    /** Time in which a surplus may be spent and a debt is paid. */
    private static final double HORIZON_SECONDS = 1;

    /** Time after which a node that has not reported is left its own part. */
    private static final long SILENT_NANOS = 1_200_000_000L;

    /** Shortest period over which a rate is computed. */
    private static final double MIN_PERIOD_SECONDS = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final Supplier<AccountTable> accounts;
    private final IntSupplier nodes;
    private final QuotaTolerance tolerance;
    private final long startNanos;
    private final Map<String, NodeReports> reports = new HashMap<>();
    private final Map<String, Bucket> buckets = new HashMap<>();

    /** What one node reported last. */
    private static final class NodeReports {
        private final Map<String, Rates> rates = new HashMap<>();
        private long reportedNanos;

        NodeReports(long nowNanos) {
            reportedNanos = nowNanos;
        }
    }

    /** Calls a second of an account at a node, over its last report. */
    private record Rates(double admitted, double wanted) {}

    private static final class Bucket {
        private double tokens;
        private long readNanos;

        Bucket(double tokens, long readNanos) {
            this.tokens = tokens;
            this.readNanos = readNanos;
        }

        void refill(double perSecond, double burst, long nowNanos) {
            double added = (nowNanos - readNanos) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(burst, tokens + added);
            readNanos = nowNanos;
        }
    }

    /**
     * Creates a coordinator that has heard of no node.
     *
     * @param accounts returns the accounts in force
     * @param nodes returns the number of nodes that admit calls
     * @param tolerance how far quotas may be exceeded
     */
    public QuotaCoordinator(
            Clock clock,
            Supplier<AccountTable> accounts,
            IntSupplier nodes,
            QuotaTolerance tolerance) {
        this.clock = clock;
        this.accounts = accounts;
        this.nodes = nodes;
        this.tolerance = tolerance;
        this.startNanos = clock.nanos();
    }

    /**
     * Records the report of a node.
     *
     * @param usage its calls since its last report, by account
     */
    public void report(String node, Map<String, AccountUsage> usage) {
        long nowNanos = clock.nanos();
        NodeReports known = reports.get(node);
        double periodSeconds =
                known == null
                        ? HORIZON_SECONDS
                        : Math.max(
                                MIN_PERIOD_SECONDS,
                                (nowNanos - known.reportedNanos) / NANOS_PER_SECOND);
        NodeReports latest = new NodeReports(nowNanos);
        AccountTable table = accounts.get();
        usage.forEach(
                (name, used) -> {
                    Account account = table.named(name);
                    if (account != null && account.quota().limited()) {
                        bucket(account, nowNanos).tokens -= used.admitted();
                        latest.rates.put(
                                name,
                                new Rates(
                                        Math.max(0, used.admitted()) / periodSeconds,
                                        used.wanted() / periodSeconds));
                    }
                });
        reports.put(node, latest);
    }

    private Bucket bucket(Account account, long nowNanos) {
        Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(0, startNanos));
        bucket.refill(
                tolerance.perSecond(account.quota()) * heardFraction(),
                tolerance.burst(account.quota()),
                nowNanos);
        return bucket;
    }

    /** Returns the fraction of nodes that report; the others admit their own parts. */
    private double heardFraction() {
        return Math.min(1, reports.size() / (double) Math.max(1, nodes.getAsInt()));
    }

    /** Returns the fraction of calls to admit of each account that has to be held back. */
    public Map<String, Double> fractions() {
        long nowNanos = clock.nanos();
        dropSilentNodes(nowNanos);
        Map<String, Double> wanted = new TreeMap<>();
        for (NodeReports node : reports.values()) {
            node.rates.forEach((name, rates) -> wanted.merge(name, rates.wanted(), Double::sum));
        }
        Map<String, Double> limited = new TreeMap<>();
        AccountTable table = accounts.get();
        wanted.forEach(
                (name, demand) -> {
                    Account account = table.named(name);
                    if (account != null && account.quota().limited()) {
                        double fraction = fraction(account, demand, nowNanos);
                        if (fraction < 1) {
                            limited.put(name, fraction);
                        }
                    }
                });
        buckets.keySet().removeIf(name -> table.named(name) == null);
        return limited;
    }

    private double fraction(Account account, double wantedPerSecond, long nowNanos) {
        double perSecond = tolerance.perSecond(account.quota()) * heardFraction();
        double allowed = perSecond + bucket(account, nowNanos).tokens / HORIZON_SECONDS;
        return wantedPerSecond <= 0 ? 1 : Math.max(0, Math.min(1, allowed / wantedPerSecond));
    }

    /**
     * Drops nodes that have fallen silent, and charges what they may have admitted without a
     * report.
     */
    private void dropSilentNodes(long nowNanos) {
        Iterator<NodeReports> each = reports.values().iterator();
        while (each.hasNext()) {
            NodeReports node = each.next();
            if (nowNanos - node.reportedNanos > SILENT_NANOS) {
                each.remove();
                node.rates.forEach((name, rates) -> charge(name, rates, nowNanos));
            }
        }
    }

    private void charge(String name, Rates rates, long nowNanos) {
        @Nullable Account account = accounts.get().named(name);
        if (account != null) {
            bucket(account, nowNanos).tokens -=
                    rates.admitted() * QuotaShares.ANSWER_VALID_MILLIS / 1_000.0;
        }
    }

    /** Returns the number of nodes that report. */
    public int reportingNodes() {
        return reports.size();
    }

    /** Returns what is left of an account's burst, below 0 while it is in debt. */
    public double tokens(Account account) {
        return bucket(account, clock.nanos()).tokens;
    }
}
