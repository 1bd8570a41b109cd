package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.rollout.RolloutBoard;
import dev.zinniaring.rollout.RolloutOrder;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.store.RowPage;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what stays of a roll-out when the node that decides about it is replaced. */
class RolloutLogTest {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final RowPage.TableRow ORDER =
            new RowPage.TableRow("order/s", 1, bytes("v2"), false);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final FakeRowStore store = new FakeRowStore();

    /** Orders and states as plain text. */
    private static final class TextDocuments implements RolloutDocuments {
        @Override
        public String orderedService(String key) {
            return key.startsWith("order/") ? key.substring("order/".length()) : null;
        }

        @Override
        public RolloutOrder order(byte[] value) {
            String target = new String(value, StandardCharsets.UTF_8);
            return target.isEmpty() ? null : new RolloutOrder("s", target, Duration.ofSeconds(10));
        }

        @Override
        public String statusTable() {
            return "status";
        }

        @Override
        public String statusKey(String service) {
            return service;
        }

        @Override
        public byte[] status(RolloutOrder order, RolloutState state) {
            return bytes(state.name());
        }

        @Override
        public RolloutState state(byte[] value, String target) {
            return RolloutState.valueOf(new String(value, StandardCharsets.UTF_8));
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private RolloutBoard lead(RolloutLog log) {
        RolloutBoard board = new RolloutBoard(clock, 0.1);
        log.orderChanged(ORDER);
        log.lead(board);
        return board;
    }

    private void run(RolloutLog log, Duration time) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(time) < 0;
                passed = passed.plus(TICK)) {
            log.tick();
            scheduler.advance(TICK);
        }
    }

    private RolloutLog log() {
        return new RolloutLog(store, new TextDocuments(), scheduler);
    }

    private String recorded() {
        return new String(store.value("s"), StandardCharsets.UTF_8);
    }

    @Test
    void eachStateIsRecordedAndTheNextLeaderGoesOnFromIt() {
        RolloutLog first = log();
        lead(first);
        run(first, Duration.ofSeconds(1));
        assertThat(recorded()).isEqualTo("RUNNING");
        run(first, Duration.ofSeconds(10));
        assertThat(recorded()).as("no call reached the new version").isEqualTo("ROLLED_BACK");
        RolloutLog second = log();
        RolloutBoard board = lead(second);
        run(second, Duration.ofSeconds(1));
        assertThat(board.splits().get("s").state()).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(recorded()).isEqualTo("ROLLED_BACK");
    }

    /** The answer of a write may be lost although the store has done it. */
    @Test
    void aStateWhoseWriteWasNotAnsweredIsRecordedOnTheRowsPresentRevision() {
        RolloutLog log = log();
        store.loseNextResponse = true;
        lead(log);
        run(log, Duration.ofSeconds(11));
        assertThat(recorded()).isEqualTo("ROLLED_BACK");
    }

    @Test
    void anOrderThatIsMissingFromAListingIsWithdrawn() {
        RolloutLog log = log();
        RolloutBoard board = lead(log);
        run(log, Duration.ofSeconds(1));
        assertThat(board.splits()).containsKey("s");
        log.listed(List.of());
        assertThat(board.splits()).isEmpty();
        assertThat(log.hasOrders()).isFalse();
    }

    /** An order of another writer must not end the leader. */
    @Test
    void aMalformedOrderIsRejected() {
        RolloutLog log = log();
        RolloutBoard board = lead(log);
        run(log, Duration.ofSeconds(1));
        log.orderChanged(new RowPage.TableRow("order/t", 9, new byte[0], false));
        assertThat(board.splits()).containsOnlyKeys("s");
    }
}
