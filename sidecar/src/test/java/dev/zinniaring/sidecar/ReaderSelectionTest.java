package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ReaderSelectionTest {
    private static List<EndpointRecord> nodes(int count) {
        List<EndpointRecord> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(ServerDirectoryTest.record("n" + i, "i" + i, "10.0.0." + i + ":1", 1, 1));
        }
        return nodes;
    }

    /** The choice must not depend on the order in which a node learned of the others. */
    @Test
    void readerDoesNotDependOnTheOrderOfNodes() {
        List<EndpointRecord> nodes = nodes(25);
        EndpointRecord first = ReaderSelection.candidates(nodes, "a").get(0);
        Collections.shuffle(nodes, new Random(3));
        assertThat(ReaderSelection.candidates(nodes, "a").get(0)).isEqualTo(first);
    }

    @Test
    void nextCandidateReplacesAFailingReader() {
        List<EndpointRecord> candidates = ReaderSelection.candidates(nodes(5), "a");
        assertThat(candidates).hasSize(5);
        assertThat(ReaderSelection.reader(candidates, node -> false)).isEqualTo(candidates.get(0));
        assertThat(ReaderSelection.reader(candidates, candidates.subList(0, 3)::contains))
                .isEqualTo(candidates.get(3));
        assertThat(ReaderSelection.reader(candidates, node -> true)).isNull();
    }

    @Test
    void nodesOfOtherZonesAreNotCandidates() {
        assertThat(ReaderSelection.candidates(nodes(5), "b")).isEmpty();
    }
}
