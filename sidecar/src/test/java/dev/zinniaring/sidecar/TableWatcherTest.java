package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.store.RowPage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class TableWatcherTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final FakeRowStore store = new FakeRowStore();
    private final List<RowPage> pages = new ArrayList<>();
    private final TableWatcher watcher =
            new TableWatcher(
                    store,
                    "t",
                    scheduler,
                    clock,
                    new SplittableRandom(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(100),
                    (page, complete) -> pages.add(page));

    private void advance(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    @Test
    void tableIsListedAndThenPolled() {
        watcher.start();
        advance(200);
        assertThat(store.calls).containsExactly("list", "feed 1");
        store.pendingFeeds.get(0).complete(new RowPage(List.of(), 4));
        advance(200);
        assertThat(store.calls).containsExactly("list", "feed 1", "feed 4");
        assertThat(pages).hasSize(2);
    }

    /** Changes that the store dropped from its history would otherwise be missed permanently. */
    @Test
    void tableIsListedAgainAfterALossOfHistory() {
        store.dropHistory = true;
        watcher.start();
        advance(300);
        assertThat(store.calls).containsExactly("list", "feed 1", "list", "feed 1");
    }

    /** The response to a request with a revision of the earlier era must not be applied. */
    @Test
    void tableIsListedAgainAfterTheStoreWasRestored() {
        watcher.start();
        advance(200);
        watcher.listAgain();
        store.pendingFeeds.get(0).complete(new RowPage(List.of(), 9));
        advance(200);
        assertThat(store.calls).containsExactly("list", "feed 1", "list", "feed 1");
        assertThat(pages).hasSize(2);
    }

    /** Every failed request loads the store, so an outage must not cause a storm of retries. */
    @Test
    void retriesBackOffDuringAnOutageAndRecoverAfterIt() {
        store.down = true;
        watcher.start();
        advance(10_000);
        assertThat(store.calls.size()).isBetween(8, 25);
        assertThat(watcher.failing()).isTrue();
        store.down = false;
        advance(1_500);
        assertThat(watcher.failing()).isFalse();
        assertThat(pages).isNotEmpty();
    }

    /** The response to an abandoned request must not be mistaken for that to a later one. */
    @Test
    void stoppedWatcherIgnoresPendingResponse() {
        watcher.start();
        advance(200);
        watcher.stop();
        store.pendingFeeds.get(0).complete(new RowPage(List.of(), 9));
        advance(200);
        assertThat(pages).hasSize(1);
        assertThat(store.calls).hasSize(2);
    }

    /**
     * A reader that failed to report its first store error left its zone without updates for 3 s.
     */
    @Test
    void firstFailureIsReportedImmediatelyAndOnce() {
        List<String> notifications = new ArrayList<>();
        watcher.onFailure(() -> notifications.add("failed"));
        watcher.start();
        advance(200);
        store.down = true;
        store.pendingFeeds.get(0).complete(new RowPage(List.of(), 4));
        advance(150);
        assertThat(notifications).containsExactly("failed");
        advance(3_000);
        assertThat(notifications).containsExactly("failed");
    }
}
