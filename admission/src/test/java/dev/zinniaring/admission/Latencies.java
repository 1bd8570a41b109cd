package dev.zinniaring.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Collects latencies and computes exact quantiles. */
final class Latencies {
    private final List<Long> nanos = new ArrayList<>();

    void add(long latencyNanos) {
        nanos.add(latencyNanos);
    }

    double quantileMillis(double quantile) {
        Collections.sort(nanos);
        return nanos.get((int) (quantile * (nanos.size() - 1))) / 1e6;
    }
}
