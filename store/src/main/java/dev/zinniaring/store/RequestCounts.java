package dev.zinniaring.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests to the platform by kind, and their bytes. Thread-safe. */
public final class RequestCounts implements RequestObserver {
    private final Map<RequestKind, LongAdder> requests = new EnumMap<>(RequestKind.class);
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    /** Creates counters that start at zero. */
    public RequestCounts() {
        for (RequestKind kind : RequestKind.values()) {
            requests.put(kind, new LongAdder());
        }
    }

    @Override
    public void requested(RequestKind kind, long sent, long received) {
        adder(kind).increment();
        sentBytes.add(sent);
        receivedBytes.add(received);
    }

    /** Returns the number of requests of a kind. */
    public long of(RequestKind kind) {
        return adder(kind).sum();
    }

    /** Returns the number of read requests. */
    public long reads() {
        return sum(false);
    }

    /** Returns the number of write requests. */
    public long writes() {
        return sum(true);
    }

    /** Returns the total size of all requests, in bytes. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the total size of all responses, in bytes. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    private LongAdder adder(RequestKind kind) {
        LongAdder adder = requests.get(kind);
        if (adder == null) {
            throw new IllegalStateException("no counter for kind " + kind);
        }
        return adder;
    }

    private long sum(boolean write) {
        long sum = 0;
        for (RequestKind kind : RequestKind.values()) {
            sum += kind.isWrite() == write ? of(kind) : 0;
        }
        return sum;
    }
}
