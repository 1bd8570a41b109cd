package dev.zinniaring.calls;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Deals calls to services by weight. Smooth weighted round robin keeps the shares exact over short
 * stretches, which random choice would not.
 */
public final class WeightedTurns {
    private final String[] services;
    private final int[] weights;
    private final long totalWeight;
    private final AtomicReference<long[]> credits;

    private WeightedTurns(String[] services, int[] weights) {
        this.services = services;
        this.weights = weights;
        long total = 0;
        for (int weight : weights) {
            total += weight;
        }
        this.totalWeight = total;
        this.credits = new AtomicReference<>(new long[weights.length]);
    }

    /** Returns turns over services with the given weights; one at least is above 0. */
    public static WeightedTurns of(Map<String, Integer> weights) {
        String[] services = weights.keySet().toArray(String[]::new);
        int[] values = new int[services.length];
        for (int i = 0; i < services.length; i++) {
            values[i] = weights.getOrDefault(services[i], 0);
        }
        return new WeightedTurns(services, values);
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
