package dev.zinniaring.accounts;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides at one node which calls of an account its quota admits. It answers accounts that ask for
 * many times their quota at all nodes at once, and quotas of a few requests a second over a hundred
 * nodes, of which no node can hold a whole request in advance.
 *
 * <p>Nodes report what they admitted to a coordinator and get back, for each account above its
 * quota, the fraction of its calls to admit. Without a recent answer, a node admits its own part of
 * each quota only, so that the sum over all nodes keeps to it.
 *
 * <p>Not thread-safe.
 */
public final class QuotaShares {
    /** Time for which an answer of the coordinator is followed. */
    static final long ANSWER_VALID_MILLIS = 1_250;

    /** Most that a node holds of an account's own part, as the time in which it accrues. */
    private static final double PART_SECONDS = 1;

    private final Clock clock;
    private final RandomGenerator random;
    private final IntSupplier nodes;
    private Map<String, Double> fractions = Map.of();
    private Map<String, AccountUsage> usage = new HashMap<>();
    private final Map<String, Part> parts = new HashMap<>();
    private @Nullable ClockReading asked;

    /** This node's own part of an account's quota. */
    private static final class Part {
        private double tokens;
        private long readNanos;

        Part(double tokens, long readNanos) {
            this.tokens = tokens;
            this.readNanos = readNanos;
        }
    }

    /**
     * Creates the shares of a node that has not heard of a coordinator.
     *
     * @param nodes returns the number of nodes that admit calls, this one included
     */
    public QuotaShares(Clock clock, RandomGenerator random, IntSupplier nodes) {
        this.clock = clock;
        this.random = random;
        this.nodes = nodes;
    }

    /** Decides about a call of an account; counts it as admitted if it is. */
    public boolean tryAdmit(Account account) {
        if (!account.quota().limited()) {
            return true;
        }
        boolean admitted = coordinated() ? admitFraction(account) : admitOwnPart(account);
        count(account, new AccountUsage(admitted ? 1 : 0, 1));
        return admitted;
    }

    /** Gives back what an admitted call took that reached no server. */
    public void giveBack(Account account) {
        if (account.quota().limited()) {
            count(account, new AccountUsage(-1, 0));
        }
    }

    private void count(Account account, AccountUsage added) {
        usage.merge(account.name(), added, AccountUsage::plus);
    }

    /** Returns whether the coordinator has answered lately. */
    public boolean coordinated() {
        ClockReading last = asked;
        return last != null && last.ageMillis(clock) < ANSWER_VALID_MILLIS;
    }

    private boolean admitFraction(Account account) {
        Double fraction = fractions.get(account.name());
        return fraction == null || random.nextDouble() < fraction;
    }

    /** Admits with the probability of what is left if that is less than a whole request. */
    private boolean admitOwnPart(Account account) {
        long nowNanos = clock.nanos();
        double nodeCount = Math.max(1, nodes.getAsInt());
        double perSecond = account.quota().perSecond() / nodeCount;
        Part part =
                parts.computeIfAbsent(
                        account.name(), name -> new Part(perSecond * PART_SECONDS, nowNanos));
        double accrued = part.tokens + (nowNanos - part.readNanos) / 1e9 * perSecond;
        part.tokens = Math.min(perSecond * PART_SECONDS, accrued);
        part.readNanos = nowNanos;
        if (part.tokens <= 0 || random.nextDouble() >= part.tokens) {
            return false;
        }
        part.tokens--;
        return true;
    }

    /** Returns the usage since the last call of this method. */
    public Map<String, AccountUsage> takeUsage() {
        Map<String, AccountUsage> taken = usage;
        usage = new HashMap<>();
        return taken;
    }

    /** Adds usage whose report was not answered to the next one. */
    public void returnUsage(Map<String, AccountUsage> unreported) {
        unreported.forEach((name, added) -> usage.merge(name, added, AccountUsage::plus));
    }

    /**
     * Records an answer of the coordinator.
     *
     * @param askedAt moment at which the report was sent
     * @param limited fraction of calls to admit, by account; accounts that are not named are not
     *     held back
     */
    public void answered(ClockReading askedAt, Map<String, Double> limited) {
        asked = askedAt;
        fractions = Map.copyOf(limited);
        parts.clear();
    }

    /** Returns the fraction of calls to admit of each account that is held back. */
    public Map<String, Double> fractions() {
        return fractions;
    }
}
