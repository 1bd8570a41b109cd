package dev.zinniaring.calls;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The request rate that the local backend server accepts, as named in its answers. */
final class LocalServerLimit {
    private static final Logger log = LoggerFactory.getLogger("server");
    private static final double NONE = Double.POSITIVE_INFINITY;

    private final CallCounters counters;
    private double perSecond = NONE;

    LocalServerLimit(CallCounters counters) {
        this.counters = counters;
    }

    /** Records what a backend server said about itself in an answer. */
    void answered(String serverId, ServerNotice notice) {
        if (notice.limitMalformed()) {
            counters.increment("server_limit_malformed");
            return;
        }
        change(serverId, notice.limitPerSecond().orElse(NONE), "answer");
    }

    private void change(String serverId, double newPerSecond, String source) {
        if (newPerSecond == perSecond) {
            return;
        }
        counters.increment("server_limit_changed");
        log.info(
                "request limit changed server={} per_s={} before_per_s={} from={}",
                serverId,
                text(newPerSecond),
                text(perSecond),
                source);
        perSecond = newPerSecond;
    }

    private static String text(double limitPerSecond) {
        return limitPerSecond == NONE ? "none" : String.valueOf(limitPerSecond);
    }

    /** Records that a request is sent to the server. */
    void sent() {
        if (perSecond != NONE) {
            counters.increment("server_requests_under_limit");
        }
    }
}
