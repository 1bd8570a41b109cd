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

    /** A configuration with the document that it was read from. */
    record Loaded(Configuration configuration, ConfigurationDocument document) {}

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
     * Returns the version number that a document has, {@link ConfigurationReader#UNKNOWN_NUMBER} if
     * that is unknown until it is read, or 0 if the document is malformed.
     */
    synchronized long number(ConfigurationDocument document) {
        try {
            return reader.number(document.bytes());
        } catch (SidecarException e) {
            logRejected(document, e.getMessage());
            return 0;
        }
    }

    /**
     * Activates the configuration of a document if it is newer than the active one. A document that
     * is known to be no newer is not read.
     *
     * @return whether the document is valid, as far as it was read
     */
    synchronized boolean offer(ConfigurationDocument document) {
        long startNanos = clock.nanos();
        long waitedNanos = startNanos - document.arrivedNanos();
        Configuration offered;
        try {
            byte[] bytes = document.bytes();
            if (reader.number(bytes) <= number()) {
                metrics.dropped();
                return true;
            }
            offered = reader.read(bytes);
        } catch (InvalidTablesException | SidecarException e) {
            logRejected(document, e.getMessage());
            metrics.read("rejected", waitedNanos, clock.nanos() - startNanos);
            return false;
        }
        long readNanos = clock.nanos() - startNanos;
        if (offered.number() <= number()) {
            metrics.read("superseded", waitedNanos, readNanos);
            return true;
        }
        metrics.read("activated", waitedNanos, readNanos);
        // Other nodes ask for this form on the event loop, which must not wait for it.
        document.compressed();
        loaded.set(new Loaded(offered, document));
        changeListener.run();
        log.info(
                "activated configuration version={} routes={} from={} waited_ms={} read_ms={}",
                offered.number(),
                offered.routes().size(),
                document.source(),
                waitedNanos / NANOS_PER_MILLI,
                readNanos / NANOS_PER_MILLI);
        return true;
    }

    private static void logRejected(ConfigurationDocument document, @Nullable String problems) {
        log.warn(
                "rejected invalid configuration from={} problems=\"{}\"",
                document.source(),
                problems);
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
