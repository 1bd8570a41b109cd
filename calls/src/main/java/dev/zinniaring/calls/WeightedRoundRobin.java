package dev.zinniaring.calls;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Distributes calls over services by weight, using smooth weighted round robin. Unlike random
 * selection, it keeps the proportions exact over short sequences. Safe for use by several threads.
 */
public final class WeightedRoundRobin {
    private final String[] services;
    private final int[] weights;
    private final long totalWeight;
    private final AtomicReference<long[]> credits;

    private WeightedRoundRobin(String[] services, int[] weights) {
        this.services = services;
        this.weights = weights;
        long total = 0;
        for (int weight : weights) {
            total += weight;
        }
        this.totalWeight = total;
        this.credits = new AtomicReference<>(new long[weights.length]);
    }

    /** Creates a selector for services with the given weights, at least one of them positive. */
    public static WeightedRoundRobin of(Map<String, Integer> weights) {
        String[] services = weights.keySet().toArray(String[]::new);
        int[] values = new int[services.length];
        for (int i = 0; i < services.length; i++) {
            values[i] = weights.getOrDefault(services[i], 0);
        }
        return new WeightedRoundRobin(services, values);
    }

    /** Returns the service of the next call. */
    public String next() {
        if (services.length == 1) {
            return services[0];
        }
        while (true) {
            long[] old = Objects.requireNonNull(credits.get());
            long[] now = old.clone();
            int best = 0;
            for (int i = 0; i < now.length; i++) {
                now[i] += weights[i];
                if (now[i] > now[best]) {
                    best = i;
                }
            }
            now[best] -= totalWeight;
            if (credits.compareAndSet(old, now)) {
                return services[best];
            }
        }
    }
}
