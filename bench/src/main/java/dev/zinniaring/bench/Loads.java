package dev.zinniaring.bench;

import dev.zinniaring.standins.LoadGenerator;
import dev.zinniaring.standins.LoadGeneratorBuilder;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/** Runs load generators that spread their calls over several entry nodes. */
final class Loads {
    /** Bounds the threads of the load generator, which uses one thread per call in flight. */
    private static final int MAX_IN_FLIGHT = 1_500;

    private Loads() {}

    static LoadResult run(
            List<InetSocketAddress> targets, List<LoadStream> streams, Duration length, long seed)
            throws ExperimentException {
        LoadGeneratorBuilder builder =
                LoadGenerator.builder()
                        .duration(length)
                        .timeout(Duration.ofSeconds(3))
                        .maxInFlight(MAX_IN_FLIGHT)
                        .callIdPrefix("load-" + seed)
                        .seed(seed);
        targets.forEach(builder::target);
        streams.forEach(builder::stream);
        try {
            return builder.build().run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("interrupted", e);
        }
    }
}
