package dev.zinniaring.calls;

import dev.zinniaring.kernel.RateLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The request limit of the local backend server, as named in its answers. A node that has been
 * restarted learns it from the entry nodes that passed such an answer on, until the server answers.
 */
final class LocalServerLimit {
    private static final Logger log = LoggerFactory.getLogger("server");

    private final CallCounters counters;
    private final RateLimit rate;
    private String serverId = "";
    private boolean answered;

    /**
     * Creates the tracker of a limit.
     *
     * @param rate receives each change
     */
    LocalServerLimit(RateLimit rate, CallCounters counters) {
        this.rate = rate;
        this.counters = counters;
    }

    /** Sets the server to which requests are sent; what an earlier one named ends. */
    void setServer(String id) {
        if (!id.equals(serverId)) {
            change(RateLimit.NONE, "new-server");
            serverId = id;
            answered = false;
        }
    }

    /** Records what the server said about itself in an answer. */
    void answered(String id, ServerNotice notice) {
        if (!id.equals(serverId)) {
            return;
        }
        if (notice.limitMalformed()) {
            counters.increment("server_limit_malformed");
            return;
        }
        answered = true;
        change(notice.limitPerSecond().orElse(RateLimit.NONE), "answer");
    }

    /** Records the limit that an entry node knows of; ignored once the server itself answered. */
    void reported(double perSecond) {
        if (perSecond != RateLimit.NONE && !answered && !rate.isSet()) {
            change(perSecond, "entry-node");
        }
    }

    private void change(double perSecond, String source) {
        double before = rate.perSecond();
        if (perSecond == before) {
            return;
        }
        counters.increment("server_limit_changed");
        log.info(
                "request limit changed server={} per_s={} before_per_s={} from={}",
                serverId,
                text(perSecond),
                text(before),
                source);
        rate.set(perSecond);
    }

    private static String text(double limitPerSecond) {
        return limitPerSecond == RateLimit.NONE ? "none" : String.valueOf(limitPerSecond);
    }

    /** Records that a request is sent to the server. */
    void sent() {
        if (rate.isSet()) {
            counters.increment("server_requests_under_limit");
        }
    }
}
