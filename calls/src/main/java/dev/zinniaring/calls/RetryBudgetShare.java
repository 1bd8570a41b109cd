package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * This node's share of the retry budget that all nodes have in common for each service. A node may
 * retry a fixed ratio of the calls of its own callers, plus its share of an allowance that does not
 * depend on the number of calls. The sum over all nodes thus stays within the budget without any
 * coordination between them.
 */
final class RetryBudgetShare {
    /** Length of a bucket; the window slides in steps of one bucket. */
    private static final long BUCKET_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final Settings settings;
    private final IntSupplier nodes;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Limits of the budget.
     *
     * @param ratio retries per call
     * @param allowance retries per window that all nodes together may make regardless of the number
     *     of calls
     * @param window length of the sliding window
     */
    record Settings(double ratio, double allowance, Duration window) {}

    /**
     * Creates a budget share.
     *
     * @param nodes returns the number of nodes that share the allowance
     */
    RetryBudgetShare(Clock clock, Settings settings, IntSupplier nodes) {
        this.clock = clock;
        this.settings = settings;
        this.nodes = nodes;
    }

    /** Records a call to a service. */
    void recordCall(String service) {
        window(service).calls[currentBucket(window(service))]++;
    }

    /** Takes one retry for a service from the budget; returns false if the budget is spent. */
    boolean tryTake(String service) {
        Window window = window(service);
        int bucket = currentBucket(window);
        double allowed =
                settings.ratio() * sum(window.calls)
                        + settings.allowance() / Math.max(1, nodes.getAsInt());
        if (sum(window.retries) + 1 > allowed) {
            return false;
        }
        window.retries[bucket]++;
        return true;
    }

    private Window window(String service) {
        return windows.computeIfAbsent(
                service, name -> new Window((int) Math.max(1, settings.window().toSeconds())));
    }

    /** Clears the buckets that have expired and returns the index of the current one. */
    private int currentBucket(Window window) {
        long second = Math.floorDiv(clock.nanos(), BUCKET_NANOS);
        int length = window.calls.length;
        long from = Math.max(window.second + 1, second - length + 1);
        for (long expired = from; expired <= second; expired++) {
            window.calls[Math.floorMod(expired, length)] = 0;
            window.retries[Math.floorMod(expired, length)] = 0;
        }
        window.second = second;
        return Math.floorMod(second, length);
    }

    private static int sum(int[] values) {
        int sum = 0;
        for (int value : values) {
            sum += value;
        }
        return sum;
    }

    private static final class Window {
        private final int[] calls;
        private final int[] retries;
        private long second = Long.MIN_VALUE / 2;

        Window(int seconds) {
            calls = new int[seconds];
            retries = new int[seconds];
        }
    }
}
