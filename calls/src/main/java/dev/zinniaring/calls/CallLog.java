package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a line for each decision that touches a call, as far as a budget allows; what is left out
 * is counted.
 */
final class CallLog {
    private static final Logger log = LoggerFactory.getLogger("calls");

    /** Keeps the cost of logging below a per cent of a small core during a flood. */
    private static final double LINES_PER_SECOND = 20;

    private static final double BURST_LINES = 100;

    private final TokenBucket budget;
    private final CallCounters counters;

    CallLog(Clock clock, CallCounters counters) {
        this.budget = new TokenBucket(clock, LINES_PER_SECOND, BURST_LINES);
        this.counters = counters;
    }

    void decided(String decision, String callId, String route, Object... inputs) {
        if (!log.isInfoEnabled()) {
            return;
        }
        if (!budget.take()) {
            counters.increment("log_lines_left_out");
            return;
        }
        StringBuilder line = new StringBuilder(decision);
        line.append(" call=").append(callId).append(" route=").append(route);
        for (int i = 0; i + 1 < inputs.length; i += 2) {
            line.append(' ').append(inputs[i]).append('=').append(inputs[i + 1]);
        }
        log.info("{}", line);
    }
}
