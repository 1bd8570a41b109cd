package dev.zinniaring.accounts;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class AccountTableTest {
    private static final Account FIRST = new Account("a", Account.ROUTE_RANK, Quota.UNLIMITED);
    private static final Account SECOND = new Account("b", 0, Quota.of(2.5, 4));

    @Test
    void accountsAreFoundByEachOfTheirKeys() {
        AccountTable.Builder builder = AccountTable.builder();
        assertThat(builder.add(FIRST, List.of("k1", "k2"))).isTrue();
        assertThat(builder.add(SECOND, List.of())).isTrue();
        AccountTable table = builder.build();
        assertThat(table.holder("k2")).isEqualTo(FIRST);
        assertThat(table.holder("k3")).isNull();
        assertThat(table.holder("")).isNull();
        assertThat(table.named("b")).isEqualTo(SECOND);
    }

    /** Calls with such a key could be charged to either account. */
    @Test
    void aKeyThatAnotherAccountHoldsIsNotAdded() {
        AccountTable.Builder builder = AccountTable.builder();
        builder.add(FIRST, List.of("k1"));
        assertThat(builder.add(SECOND, List.of("k2", "k1"))).isFalse();
        assertThat(builder.build().holder("k2")).isNull();
    }

    @Test
    void theRankOfAnAccountGoesBeforeThatOfTheRoute() {
        assertThat(FIRST.rankOrder(3)).isEqualTo(3);
        assertThat(SECOND.rankOrder(3)).isZero();
    }

    @Test
    void aRateOfZeroIsNoLimitAndANegativeOneIsRefused() {
        assertThat(Quota.of(0, 7).limited()).isFalse();
        assertThat(Quota.of(0.5, 0).limited()).isTrue();
        assertThatThrownBy(() -> Quota.of(-1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> Quota.of(1, Double.NaN))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
