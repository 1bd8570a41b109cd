package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rate-limited log of the decisions about individual calls. Lines beyond the rate limit are dropped
 * and counted.
 */
final class CallLog {
    private static final Logger log = LoggerFactory.getLogger("calls");

    /** Keeps the cost of logging under overload below 1 % of a small core. */
    private static final double LINES_PER_SECOND = 20;

    private static final double BURST_LINES = 100;

    private final TokenBucket rateLimit;
    private final CallCounters counters;

    CallLog(Clock clock, CallCounters counters) {
        this.rateLimit = new TokenBucket(clock, LINES_PER_SECOND, BURST_LINES);
        this.counters = counters;
    }

    /**
     * Logs a decision.
     *
     * @param decision name of the decision, the first word of the line
     * @param inputs alternating keys and values that led to the decision
     */
    void logDecision(String decision, String callId, String route, Object... inputs) {
        if (!log.isInfoEnabled()) {
            return;
        }
        if (!rateLimit.take()) {
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
