package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.Tables;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class KeyConfirmationsTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final KeyFreshness freshness = new KeyFreshness(clock);
    private final Deque<Runnable> unreadDocuments = new ArrayDeque<>();
    private final ActiveConfiguration active =
            new ActiveConfiguration(
                    bytes ->
                            new Configuration(
                                    bytes[0], Tables.EMPTY, Map.of(), ClientLimits.DEFAULT),
                    new ConfigurationMetrics(new PrometheusRegistry()),
                    clock);
    private final KeyConfirmations confirmations =
            new KeyConfirmations(
                    freshness, new ConfigurationInbox(active, unreadDocuments::add), Runnable::run);

    private void answered(int... versions) {
        List<ConfigurationDocument> documents =
                Arrays.stream(versions)
                        .mapToObj(
                                version ->
                                        ConfigurationDocument.plain(
                                                new byte[] {(byte) version}, "store", 0))
                        .toList();
        confirmations.answered(ClockReading.of(clock), documents);
    }

    @Test
    void anAnswerWithoutADocumentConfirmsTheActiveOne() {
        answered();
        assertThat(freshness.ageMillis()).isZero();
    }

    /** Otherwise a key that the unread version takes away would be accepted for longer. */
    @Test
    void nothingIsConfirmedWhileADocumentHasNotBeenRead() {
        answered(2);
        clock.advance(Duration.ofSeconds(1));
        answered();
        assertThat(freshness.ageMillis()).isEqualTo(ClockReading.UNKNOWN_MILLIS);
        unreadDocuments.forEach(Runnable::run);
        assertThat(active.number()).isEqualTo(2);
        assertThat(freshness.ageMillis()).isEqualTo(1_000);
    }
}
