package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.model.Version;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class PollingDistributionTest {
    @Test
    void followsTheHeadAndKeepsTheLastValidVersionDuringFaults() {
        ManualScheduler scheduler = new ManualScheduler(ManualClock.startingAt(Instant.EPOCH));
        SimPlatform platform = new SimPlatform();
        PollingDistribution polling =
                PollingDistribution.builder()
                        .source(platform.source("zone"))
                        .scheduler(scheduler)
                        .platformExecutor(Runnable::run)
                        .build();
        polling.start();
        scheduler.advance(Duration.ofSeconds(1));
        assertThat(polling.active()).isEmpty();
        platform.publish(SimTables.of(3, 1));
        scheduler.advance(Duration.ofSeconds(1));
        platform.publishUnreadable();
        scheduler.advance(Duration.ofSeconds(1));
        assertThat(polling.active().map(Version::number)).contains(1L);
        platform.unreachableZones.add("zone");
        platform.publish(SimTables.of(3, 2));
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(polling.active().map(Version::number)).contains(1L);
        platform.unreachableZones.clear();
        scheduler.advance(Duration.ofSeconds(1));
        assertThat(polling.active().map(Version::number)).contains(3L);
    }
}
