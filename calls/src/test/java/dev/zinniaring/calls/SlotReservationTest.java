package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotReservationTest {
    private final SlotReservation reservation = new SlotReservation();

    /** History reads of 360 ms held every slot, and the lookups of orders failed. */
    @Test
    void shortLookupsKeepASlotBesideLongReads() {
        assertThat(reservation.isUrgent(2, 2_000, 0)).isFalse();
        assertThat(reservation.isUrgent(1, 120, 0)).isTrue();
        assertThat(reservation.isUrgent(2, 2_000, 0)).isFalse();
        assertThat(reservation.commonSlots(6)).isEqualTo(5);
        assertThat(reservation.commonSlots(18)).isEqualTo(15);
    }

    /** A server with one kind of calls must use every slot for it. */
    @Test
    void aServerWithOneKindOfCallsKeepsNoSlot() {
        assertThat(reservation.isUrgent(1, 300, 0)).isFalse();
        assertThat(reservation.commonSlots(6)).isEqualTo(6);
    }

    /** Slots must not be kept for calls that have ceased. */
    @Test
    void aKindThatHasNotComeForAWhileIsForgotten() {
        reservation.isUrgent(2, 2_000, 0);
        reservation.isUrgent(1, 120, 0);
        reservation.isUrgent(2, 2_000, 20_000_000_000L);
        assertThat(reservation.commonSlots(6)).isEqualTo(6);
    }

    @Test
    void aServerWithOneSlotUsesIt() {
        reservation.isUrgent(2, 2_000, 0);
        reservation.isUrgent(1, 120, 0);
        assertThat(reservation.commonSlots(1)).isEqualTo(1);
    }
}
