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

class TableFollowerTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final FakeRowStore store = new FakeRowStore();
    private final List<RowPage> pages = new ArrayList<>();
    private final TableFollower follower =
            new TableFollower(
                    store,
                    "t",
                    scheduler,
                    clock,
                    new SplittableRandom(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(100),
                    (page, whole) -> pages.add(page));

    private void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    @Test
    void aTableIsListedAndThenFollowed() {
        follower.start();
        pass(200);
        assertThat(store.calls).containsExactly("list", "feed 1");
        store.feeds.get(0).complete(new RowPage(List.of(), 4));
        pass(200);
        assertThat(store.calls).containsExactly("list", "feed 1", "feed 4");
        assertThat(pages).hasSize(2);
    }

    /** Changes whose history was dropped would otherwise be missed for good. */
    @Test
    void aTableIsListedAgainAfterALossOfHistory() {
        store.loseHistory = true;
        follower.start();
        pass(300);
        assertThat(store.calls).containsExactly("list", "feed 1", "list", "feed 1");
    }

    /** Each refused call costs the store; an outage must not be met by a storm of them. */
    @Test
    void anOutageIsMetWithFewCallsAndNoticedToBeOver() {
        store.down = true;
        follower.start();
        pass(10_000);
        assertThat(store.calls.size()).isBetween(8, 25);
        assertThat(follower.failing()).isTrue();
        store.down = false;
        pass(1_500);
        assertThat(follower.failing()).isFalse();
        assertThat(pages).isNotEmpty();
    }

    /** An answer to a question that was given up must not be taken for that to a later one. */
    @Test
    void aStoppedFollowerTakesNoAnswer() {
        follower.start();
        pass(200);
        follower.stop();
        store.feeds.get(0).complete(new RowPage(List.of(), 9));
        pass(200);
        assertThat(pages).hasSize(1);
        assertThat(store.calls).hasSize(2);
    }

    /** A reader that the store refused left its zone without news for 3 s. */
    @Test
    void theFirstFailureIsToldAtOnce() {
        List<String> told = new ArrayList<>();
        follower.onFailure(() -> told.add("failed"));
        follower.start();
        pass(200);
        store.down = true;
        store.feeds.get(0).complete(new RowPage(List.of(), 4));
        pass(150);
        assertThat(told).containsExactly("failed");
        pass(3_000);
        assertThat(told).containsExactly("failed");
    }
}
