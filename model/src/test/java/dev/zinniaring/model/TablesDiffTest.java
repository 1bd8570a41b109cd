package dev.zinniaring.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TablesDiffTest {
    private static final Rank LOW = new Rank("low", 1, 1, 0);
    private static final Pool POOL = new Pool("p", "s", BalancePolicy.RANDOM, 1, 2, 3);

    @Test
    void diffListsAddedRemovedAndChangedEntriesWithTheirFields() {
        Route route = new Route("r", "*", "/", new TreeSet<>(), "low", false, 10, 0, "p");
        Tables before = Tables.of(List.of(LOW), List.of(route), List.of(POOL));
        Tables after =
                Tables.of(
                        List.of(new Rank("low", 1, 7, 0.5), new Rank("high", 0, 9, 0)),
                        List.of(),
                        List.of(POOL));
        TablesDiff diff = TablesDiff.between(before, after);
        assertThat(diff.toString())
                .isEqualTo(
                        "+ rank high: floorShare 0.0, order 0, worth 9\n"
                                + "~ rank low: floorShare 0.0 -> 0.5, worth 1 -> 7\n"
                                + "- route r");
        assertThat(diff.toJson().toString())
                .contains("{\"field\":\"worth\",\"before\":1,\"after\":7}")
                .contains("{\"action\":\"removed\",\"table\":\"route\",\"name\":\"r\"");
    }

    @Test
    void equalTablesHaveEmptyDiff() {
        Tables tables = Tables.of(List.of(LOW), List.of(), List.of(POOL));
        assertThat(TablesDiff.between(tables, tables).isEmpty()).isTrue();
        assertThat(TablesDiff.between(tables, tables)).hasToString("");
    }

    /** Guards against samples that zinniarctl would reject or that let a rank starve. */
    @ParameterizedTest
    @ValueSource(strings = {"pt-centro", "se-mid"})
    void sampleTablesAreValidAndGiveEachRankAFloorShare(String deployment)
            throws InvalidTablesException, IOException {
        Tables tables = TablesCodec.readDirectory(Path.of("..", "samples", deployment, "tables"));
        assertThat(tables.routes()).hasSize(4);
        assertThat(tables.ranks().values()).hasSize(4).allMatch(rank -> rank.floorShare() > 0);
    }
}
