package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotReservationTest {
    private final SlotReservation reservation = new SlotReservation();

    /** Guards against history reads of 360 ms occupying every slot, so that order lookups fail. */
    @Test
    void slotsAreReservedForShortLookupsBesideLongReads() {
        assertThat(reservation.isUrgent(2, 2_000, 0)).isFalse();
        assertThat(reservation.isUrgent(1, 120, 0)).isTrue();
        assertThat(reservation.isUrgent(2, 2_000, 0)).isFalse();
        assertThat(reservation.nonUrgentSlots(6)).isEqualTo(5);
        assertThat(reservation.nonUrgentSlots(18)).isEqualTo(15);
    }

    /** A server with a single class of calls must use all slots for it. */
    @Test
    void noSlotIsReservedForASingleClassOfCalls() {
        assertThat(reservation.isUrgent(1, 300, 0)).isFalse();
        assertThat(reservation.nonUrgentSlots(6)).isEqualTo(6);
    }

    /** No slot may stay reserved for calls that no longer occur. */
    @Test
    void aClassOfCallsExpiresWhenItIsNoLongerSeen() {
        reservation.isUrgent(2, 2_000, 0);
        reservation.isUrgent(1, 120, 0);
        reservation.isUrgent(2, 2_000, 20_000_000_000L);
        assertThat(reservation.nonUrgentSlots(6)).isEqualTo(6);
    }

    @Test
    void theOnlySlotOfAServerIsNotReserved() {
        reservation.isUrgent(2, 2_000, 0);
        reservation.isUrgent(1, 120, 0);
        assertThat(reservation.nonUrgentSlots(1)).isEqualTo(1);
    }
}
