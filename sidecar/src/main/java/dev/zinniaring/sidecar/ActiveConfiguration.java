package dev.zinniaring.sidecar;

import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.InvalidTablesException;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the active configuration. A version replaces a lower one as a whole and is never replaced
 * by a lower one. Thread-safe.
 */
final class ActiveConfiguration {
    private static final Logger log = LoggerFactory.getLogger("configuration");
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ConfigurationReader reader;
    private final ConfigurationMetrics metrics;
    private final Clock clock;
    private final AtomicReference<@Nullable Loaded> loaded = new AtomicReference<>();
    private volatile Runnable changeListener = () -> {};

    /** A configuration with the gzip-compressed document that it was parsed from. */
    @SuppressWarnings("ArrayRecordComponent") // instances are never compared
    record Loaded(Configuration configuration, byte[] compressed) {}

    ActiveConfiguration(ConfigurationReader reader, ConfigurationMetrics metrics, Clock clock) {
        this.reader = reader;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Sets an action to run after each change of the active version, on the offering thread. */
    void onChange(Runnable action) {
        changeListener = action;
    }

    /**
     * Activates a configuration if it is newer than the active one.
     *
     * @param source origin of the document, for the log
     * @param arrivedNanos clock reading when it had arrived, in nanoseconds
     * @return whether the document is valid, even if its version is not newer
     */
    synchronized boolean offer(byte[] bytes, String source, long arrivedNanos) {
        long startNanos = clock.nanos();
        long waitedNanos = startNanos - arrivedNanos;
        Configuration offered;
        try {
            offered = reader.read(bytes);
        } catch (InvalidTablesException e) {
            log.warn(
                    "rejected invalid configuration from={} problems=\"{}\"",
                    source,
                    e.getMessage());
            metrics.read("rejected", waitedNanos, clock.nanos() - startNanos);
            return false;
        }
        long readNanos = clock.nanos() - startNanos;
        Loaded current = loaded.get();
        if (current != null && offered.number() <= current.configuration().number()) {
            metrics.read("superseded", waitedNanos, readNanos);
            return true;
        }
        metrics.read("activated", waitedNanos, readNanos);
        loaded.set(new Loaded(offered, Compression.compress(bytes)));
        changeListener.run();
        log.info(
                "activated configuration version={} routes={} from={} waited_ms={} read_ms={}",
                offered.number(),
                offered.routes().size(),
                source,
                waitedNanos / NANOS_PER_MILLI,
                readNanos / NANOS_PER_MILLI);
        return true;
    }

    @Nullable Configuration get() {
        Loaded current = loaded.get();
        return current == null ? null : current.configuration();
    }

    /** Returns the limits on what clients may send, the defaults until there is a configuration. */
    ClientLimits limits() {
        Configuration active = get();
        return active == null ? ClientLimits.DEFAULT : active.limits();
    }

    /** Returns the settings of a service, the defaults until there is a configuration. */
    ServerSettings server(String service) {
        Configuration active = get();
        return active == null
                ? new ServerSettings("/health", Integer.MAX_VALUE)
                : active.server(service);
    }

    @Nullable Loaded loaded() {
        return loaded.get();
    }

    long number() {
        Loaded current = loaded.get();
        return current == null ? 0 : current.configuration().number();
    }
}
