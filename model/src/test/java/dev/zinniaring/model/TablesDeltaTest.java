package dev.zinniaring.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TablesDeltaTest {
    // Guards against a delta that loses an entry, keeps a removed one or alters one.
    @Test
    void appliedDeltaYieldsExactlyTargetBytes() throws InvalidTablesException {
        Random random = new Random(41);
        for (int i = 0; i < 500; i++) {
            Tables base = tables(random);
            Tables target = tables(random);
            byte[] body = TablesCodec.encode(target);
            byte[] delta = TablesDelta.between(base, target);
            assertThat(TablesDelta.apply(base, delta, TablesCodec.hash(body))).isEqualTo(body);
        }
    }

    // Guards against a node that applies a delta to a base other than the one it was computed from.
    @Test
    void deltaAppliedToAnotherBaseIsRejected() {
        Random random = new Random(7);
        Tables base = tables(random);
        Tables target = Tables.of(base.ranks().values(), List.of(), base.pools().values());
        byte[] delta = TablesDelta.between(base, target);
        String hash = TablesCodec.hash(TablesCodec.encode(target));
        Tables other = Tables.of(List.of(new Rank("odd", 99, 1, 0)), List.of(), List.of());
        assertThatThrownBy(() -> TablesDelta.apply(other, delta, hash))
                .isInstanceOf(InvalidTablesException.class)
                .hasMessageContaining("result");
    }

    @Test
    void deltaOfOneChangedRouteIsSmall() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            routes.add(route("route" + i, 1_000));
        }
        Tables base = Tables.of(List.of(new Rank("r", 0, 1, 0)), routes, List.of(pool("p")));
        routes.set(250, route("route250", 2_000));
        Tables target = Tables.of(base.ranks().values(), routes, base.pools().values());
        assertThat(TablesDelta.between(base, target)).hasSizeLessThan(300);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{}\n", "x\n{}", "{\"rnaks\":[\"a\"]}\n{}", "{}\n{\"a\":1}"})
    void malformedDeltaIsRejected(String text) {
        byte[] delta = text.getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> TablesDelta.apply(Tables.EMPTY, delta, "0"))
                .isInstanceOf(InvalidTablesException.class);
    }

    private static Tables tables(Random random) {
        List<Rank> ranks = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        List<Pool> pools = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (random.nextBoolean()) {
                ranks.add(new Rank("rank" + i, i, 1 + random.nextInt(3), 0));
            }
            if (random.nextBoolean()) {
                routes.add(route("route" + i, 1 + random.nextInt(3)));
            }
            if (random.nextBoolean()) {
                pools.add(pool("pool" + i));
            }
        }
        return Tables.of(ranks, routes, pools);
    }

    private static Route route(String name, int deadlineMillis) {
        return new Route(
                name, "*", "/" + name, new TreeSet<>(), "r", false, deadlineMillis, 0, "p");
    }

    private static Pool pool(String name) {
        return new Pool(name, name, BalancePolicy.LEAST_LOADED, 1, 1, 10);
    }
}
