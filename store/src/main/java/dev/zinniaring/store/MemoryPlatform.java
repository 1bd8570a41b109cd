package dev.zinniaring.store;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/**
 * In-memory implementation of the platform's table service and object store, with fault injection.
 * For tests, experiments and development. Thread-safe.
 *
 * <pre>{@code
 * MemoryPlatform platform = new MemoryPlatform(Clock.system());
 * platform.faults().outage(true);
 * platform.tables().get("mesh/pt-centro/head"); // throws PlatformUnavailableException
 * }</pre>
 */
public final class MemoryPlatform {
    private final MemoryRows rows = new MemoryRows();
    private final MemoryObjects objects = new MemoryObjects();
    private final Queue<Effect<?>> delayed = new ArrayDeque<>();
    private final PlatformFaults faults;
    private final RequestCounts counts = new RequestCounts();
    private final Pause pause;

    /** Creates an empty platform whose injected delays block the calling thread. */
    public MemoryPlatform(Clock clock) {
        this(clock, Pause.blocking());
    }

    /**
     * Creates an empty platform.
     *
     * @param clock time source of the rate limits
     * @param pause waits for the injected delays
     */
    public MemoryPlatform(Clock clock, Pause pause) {
        this.faults = new PlatformFaults(clock);
        this.pause = pause;
    }

    /** Returns the table service. */
    public TableService tables() {
        return new Tables();
    }

    /** Returns the object store. */
    public ObjectStore objects() {
        return new Objects();
    }

    /** Returns the controls of the injected faults. */
    public PlatformFaults faults() {
        return faults;
    }

    /** Returns the request counts, which include rejected requests. */
    public RequestCounts counts() {
        return counts;
    }

    /**
     * Applies the writes delayed by {@link Fault#LOST_AND_DELAYED}, in the order of their arrival.
     */
    public void deliverDelayed() {
        for (Effect<?> effect = nextDelayed(); effect != null; effect = nextDelayed()) {
            effect.apply();
        }
    }

    private @Nullable Effect<?> nextDelayed() {
        synchronized (delayed) {
            return delayed.poll();
        }
    }

    /** The effect of a request on the stored data, applied unless a fault prevents it. */
    private interface Effect<T> {
        T apply();
    }

    private <T> T run(RequestKind kind, String key, Effect<T> effect) throws PlatformException {
        counts.requested(kind, 0, 0);
        applyDelay(faults.delay());
        Fault fault = faults.next(kind, key);
        switch (fault) {
            case NONE:
                return effect.apply();
            case UNAVAILABLE:
                throw new PlatformUnavailableException("the platform has an outage");
            case THROTTLED:
                throw new PlatformThrottledException("the platform's rate limit is exceeded");
            case LOST_AFTER_EFFECT:
                effect.apply();
                break;
            case LOST_AND_DELAYED:
                deferWrite(kind, effect);
                break;
            default:
                break;
        }
        throw lostResponse(kind, key);
    }

    private void deferWrite(RequestKind kind, Effect<?> effect) {
        if (kind.isWrite()) {
            synchronized (delayed) {
                delayed.add(effect);
            }
        }
    }

    private static PlatformException lostResponse(RequestKind kind, String key) {
        String message = "the answer to " + kind + " of " + key + " was lost";
        return kind.isWrite()
                ? new PlatformOutcomeUnknownException(message)
                : new PlatformUnavailableException(message);
    }

    private void applyDelay(Duration delay) throws PlatformUnavailableException {
        if (delay.isZero()) {
            return;
        }
        try {
            pause.pause(delay);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformUnavailableException("interrupted while the platform was slow", e);
        }
    }

    private final class Tables implements TableService {
        @Override
        public Optional<Row> get(String key) throws PlatformException {
            PlatformLimits.checkKey(key);
            return run(RequestKind.GET_ROW, key, () -> rows.get(key));
        }

        @Override
        public Optional<Row> getIfChanged(String key, long knownRevision) throws PlatformException {
            PlatformLimits.checkKey(key);
            return run(
                    RequestKind.GET_ROW_IF_CHANGED,
                    key,
                    () -> rows.get(key).filter(row -> row.revision() != knownRevision));
        }

        @Override
        public List<Row> scan(String prefix, int limit) throws PlatformException {
            PlatformLimits.checkScan(prefix, limit);
            return run(RequestKind.SCAN_ROWS, prefix, () -> rows.scan(prefix, limit));
        }

        @Override
        public boolean commit(Transaction transaction) throws PlatformException {
            PlatformLimits.checkTransaction(transaction);
            return run(RequestKind.COMMIT, transaction.token(), () -> rows.commit(transaction));
        }
    }

    private final class Objects implements ObjectStore {
        @Override
        public void put(String key, byte[] body) throws PlatformException {
            PlatformLimits.checkObject(key, body);
            byte[] copy = body.clone();
            run(RequestKind.PUT_OBJECT, key, () -> objects.put(key, copy));
        }

        @Override
        public Optional<byte[]> get(String key) throws PlatformException {
            PlatformLimits.checkKey(key);
            return run(RequestKind.GET_OBJECT, key, () -> objects.get(key));
        }
    }
}
