package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Configuration;
import dev.zinniaring.model.ModelException;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in force. A version replaces a lower one, whole, and is never replaced by a
 * lower one.
 */
final class Versions {
    private static final Logger log = LoggerFactory.getLogger("configuration");

    private final ConfigurationReader reader;
    private final AtomicReference<@Nullable Held> held = new AtomicReference<>();
    private volatile Runnable changed = () -> {};

    /** A configuration and the compressed bytes that it was read from. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Held(Configuration configuration, byte[] compressed) {}

    Versions(ConfigurationReader reader) {
        this.reader = reader;
    }

    /** Runs an action, on the offering thread, after each change of the version in force. */
    void onChange(Runnable action) {
        changed = action;
    }

    /** Puts a version in force if it is newer; returns whether the bytes hold a valid version. */
    synchronized boolean offer(byte[] bytes, String source) {
        Configuration offered;
        try {
            offered = reader.read(bytes);
        } catch (ModelException e) {
            log.warn("refused a configuration from={} problems=\"{}\"", source, e.getMessage());
            return false;
        }
        Held now = held.get();
        if (now != null && offered.number() <= now.configuration().number()) {
            return true;
        }
        held.set(new Held(offered, Compression.compress(bytes)));
        changed.run();
        log.info(
                "configuration in force version={} routes={} from={}",
                offered.number(),
                offered.tables().routes().size(),
                source);
        return true;
    }

    @Nullable Configuration inForce() {
        Held now = held.get();
        return now == null ? null : now.configuration();
    }

    @Nullable Held held() {
        return held.get();
    }

    long number() {
        Held now = held.get();
        return now == null ? 0 : now.configuration().number();
    }
}
