package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class VersionStateTest {
    private final VersionState state = new VersionState();

    @Test
    void heldVersionIsActivatedWhenTheFloorPermits() {
        assertThat(state.offer(held(3, 1))).isEqualTo(VersionState.Outcome.HELD);
        assertThat(state.floor(4)).isFalse();
        assertThat(state.now().active()).isNull();
        assertThat(state.floor(3)).isTrue();
        assertThat(state.now().active()).isNotNull();
        assertThat(state.offer(held(4, 2))).isEqualTo(VersionState.Outcome.ACTIVATED);
        assertThat(state.offer(held(3, 1))).isEqualTo(VersionState.Outcome.OLD);
    }

    @Test
    void sameNumberWithAnotherHashIsRejectedAndCounted() {
        state.floor(0);
        state.offer(held(3, 1));
        Version before = state.now().active();
        assertThat(state.offer(held(3, 2))).isEqualTo(VersionState.Outcome.CONFLICT);
        assertThat(state.shouldFetch(3, "other")).isFalse();
        assertThat(state.now().active()).isSameAs(before);
        assertThat(state.conflicts()).isEqualTo(2);
    }

    @Test
    void undecodableVersionIsNotRequestedAgainAndKeepsTheActiveOne() {
        state.floor(0);
        state.offer(held(3, 1));
        state.refuse(4, "hash", "route without pool");
        assertThat(state.shouldFetch(4, "hash")).isFalse();
        assertThat(state.shouldFetch(5, "hash5")).isTrue();
        assertThat(VersionStatus.stopped(state))
                .extracting(VersionStatus::number, VersionStatus::refusedVersion)
                .containsExactly(3L, 4L);
    }

    @Test
    void bodyWithAnotherHashIsRejected() {
        byte[] body = TablesCodec.encode(Tables.EMPTY);
        assertThatThrownBy(() -> HeldVersion.read(1, "0".repeat(64), body))
                .isInstanceOf(DistributionException.class)
                .hasMessageContaining("expected");
    }

    // Guards against a lost update when the floor and two versions arrive concurrently.
    @Test
    void concurrentOffersAndFloorsAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .check(ConcurrentState.class);
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .check(ConcurrentState.class);
    }

    private static HeldVersion held(long number, int variant) {
        Tables tables = SimTables.of(1, variant);
        return new HeldVersion(Version.of(number, tables), TablesCodec.encode(tables));
    }

    /** Operations for Lincheck. */
    @Param(name = "number", gen = IntGen.class, conf = "1:3")
    public static class ConcurrentState {
        private final VersionState state = new VersionState();

        @Operation
        public String offer(@Param(name = "number") int number) {
            Version version = new Version(number, "h" + number, Tables.EMPTY);
            return state.offer(new HeldVersion(version, new byte[0])).name();
        }

        @Operation
        public boolean floor(@Param(name = "number") int number) {
            return state.floor(number);
        }

        @Operation
        public long inForce() {
            Version version = state.now().active();
            return version == null ? 0 : version.number();
        }
    }
}
