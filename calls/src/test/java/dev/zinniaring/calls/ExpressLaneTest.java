package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ExpressLaneTest {
    private final ExpressLane lane = new ExpressLane();

    /** History reads of 360 ms held every slot, and the lookups of orders failed. */
    @Test
    void shortLookupsKeepASlotBesideLongReads() {
        assertThat(lane.admit(2, 2_000, 0)).isFalse();
        assertThat(lane.admit(1, 120, 0)).isTrue();
        assertThat(lane.admit(2, 2_000, 0)).isFalse();
        assertThat(lane.commonSlots(6)).isEqualTo(5);
        assertThat(lane.commonSlots(18)).isEqualTo(15);
    }

    /** A server with one kind of calls must use every slot for it. */
    @Test
    void aServerWithOneKindOfCallsKeepsNoSlot() {
        assertThat(lane.admit(1, 300, 0)).isFalse();
        assertThat(lane.commonSlots(6)).isEqualTo(6);
    }

    /** Slots must not be kept for calls that have ceased. */
    @Test
    void aKindThatHasNotComeForAWhileIsForgotten() {
        lane.admit(2, 2_000, 0);
        lane.admit(1, 120, 0);
        lane.admit(2, 2_000, 20_000_000_000L);
        assertThat(lane.commonSlots(6)).isEqualTo(6);
    }

    @Test
    void aServerWithOneSlotUsesIt() {
        lane.admit(2, 2_000, 0);
        lane.admit(1, 120, 0);
        assertThat(lane.commonSlots(1)).isEqualTo(1);
    }
}
