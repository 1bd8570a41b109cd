package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * This node's part of the budget of repeats that all nodes share for each service. Each node may
 * repeat a share of the calls that its own callers make, and its part of the allowance that does
 * not depend on calls; so the sum over all nodes stays within the budget without a message.
 */
final class RepeatBudget {
    /** Seconds are counted apart; the window slides in steps of one. */
    private static final long SLICE_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final Settings settings;
    private final IntSupplier nodes;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Bounds of the budget.
     *
     * @param ratio repeats for each call
     * @param allowance repeats of all nodes together that need no call, in one window
     * @param window length of the window
     */
    record Settings(double ratio, double allowance, Duration window) {}

    /**
     * Creates a budget.
     *
     * @param nodes returns the number of nodes that share the allowance
     */
    RepeatBudget(Clock clock, Settings settings, IntSupplier nodes) {
        this.clock = clock;
        this.settings = settings;
        this.nodes = nodes;
    }

    /** Counts a call for a service. */
    void called(String service) {
        window(service).calls[slice(window(service))]++;
    }

    /** Takes a repeat for a service, and returns whether there was one. */
    boolean take(String service) {
        Window window = window(service);
        int slice = slice(window);
        double allowed =
                settings.ratio() * sum(window.calls)
                        + settings.allowance() / Math.max(1, nodes.getAsInt());
        if (sum(window.repeats) + 1 > allowed) {
            return false;
        }
        window.repeats[slice]++;
        return true;
    }

    private Window window(String service) {
        return windows.computeIfAbsent(
                service, name -> new Window((int) Math.max(1, settings.window().toSeconds())));
    }

    private int slice(Window window) {
        long second = Math.floorDiv(clock.nanos(), SLICE_NANOS);
        int length = window.calls.length;
        long from = Math.max(window.second + 1, second - length + 1);
        for (long passed = from; passed <= second; passed++) {
            window.calls[Math.floorMod(passed, length)] = 0;
            window.repeats[Math.floorMod(passed, length)] = 0;
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
        private final int[] repeats;
        private long second = Long.MIN_VALUE / 2;

        Window(int seconds) {
            calls = new int[seconds];
            repeats = new int[seconds];
        }
    }
}
