package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ReaderChoiceTest {
    private static List<EndpointRecord> nodes(int count) {
        List<EndpointRecord> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(ServerDirectoryTest.record("n" + i, "i" + i, "10.0.0." + i + ":1", 1, 1));
        }
        return nodes;
    }

    /** Nodes that chose by the order in which they heard of others would all choose differently. */
    @Test
    void nodesThatKnowTheSameChooseTheSameReader() {
        List<EndpointRecord> nodes = nodes(25);
        EndpointRecord first = ReaderChoice.order(nodes, "a", node -> false).get(0);
        Collections.shuffle(nodes, new Random(3));
        assertThat(ReaderChoice.order(nodes, "a", node -> false).get(0)).isEqualTo(first);
    }

    @Test
    void aFailingReaderIsFollowedByTheNext() {
        List<EndpointRecord> order = ReaderChoice.order(nodes(5), "a", node -> false);
        assertThat(ReaderChoice.order(nodes(5), "a", order.get(0)::equals))
                .isEqualTo(order.subList(1, 5));
    }

    @Test
    void nodesOfOtherZonesDoNotRead() {
        assertThat(ReaderChoice.order(nodes(5), "b", node -> false)).isEmpty();
    }
}
