package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerDirectoryTest {
    private final ServerDirectory directory = new ServerDirectory();

    static EndpointRecord record(
            String node, String server, String address, long incarnation, long sequence) {
        return new EndpointRecord(
                server,
                "s",
                node,
                "a",
                address,
                incarnation,
                sequence,
                6,
                100,
                EndpointState.READY,
                0);
    }

    private List<String> servers() {
        return directory.servers().of("s").stream().map(EndpointRecord::serverId).sorted().toList();
    }

    /** Records arrive from the store and from peers in any order. */
    @Test
    void olderRecordDoesNotReplaceANewerOne() {
        directory.merge(List.of(record("n1", "new", "10.0.0.1:1", 2, 1)));
        directory.merge(List.of(record("n1", "old", "10.0.0.1:1", 1, 9)));
        assertThat(servers()).containsExactly("new");
    }

    /** Addresses of deleted VMs are reused, possibly by a server of another service. */
    @Test
    void laterNodeOwnsAReusedAddress() {
        directory.merge(List.of(record("n1", "old", "10.0.0.1:1", 1, 9)));
        directory.merge(List.of(record("n2", "new", "10.0.0.1:1", 2, 1)));
        assertThat(servers()).containsExactly("new");
    }

    /** A node that left while the feed was not being read must not stay in the list. */
    @Test
    void completeTableRemovesNodesWithoutARow() {
        directory.mergeStored(List.of(record("n1", "i1", "10.0.0.1:1", 1, 1)), List.of(), 5);
        directory.merge(List.of(record("n2", "i2", "10.0.0.2:1", 1, 1)));
        directory.replaceStored(List.of(record("n3", "i3", "10.0.0.3:1", 1, 1)), 7);
        assertThat(servers()).containsExactly("i2", "i3");
        assertThat(directory.revision()).isEqualTo(7);
    }

    /** The store may be restored from a copy; its next list has a lower revision but is newer. */
    @Test
    void aTableOfALaterEraIsAppliedAlthoughItsRevisionIsLower() {
        directory.enterEra(1);
        directory.replaceStored(List.of(record("n1", "i1", "10.0.0.1:1", 1, 1)), 18);
        directory.enterEra(2);
        directory.replaceStored(List.of(record("n2", "i2", "10.0.0.2:1", 1, 1)), 15);
        assertThat(servers()).contains("i2");
        assertThat(directory.revision()).isEqualTo(15);
    }

    /** A node whose row the restore has lost still runs. */
    @Test
    void aNodeWhoseRowTheRestoreLostStaysInTheList() {
        directory.enterEra(1);
        directory.replaceStored(List.of(record("n1", "i1", "10.0.0.1:1", 1, 1)), 18);
        directory.enterEra(2);
        directory.replaceStored(List.of(), 20);
        assertThat(servers()).containsExactly("i1");
    }

    /** A restored store brings back the rows of nodes that had left. */
    @Test
    void aNodeThatHadLeftDoesNotReturnWithTheRestoredTable() {
        EndpointRecord left = record("n1", "i1", "10.0.0.1:1", 1, 1);
        directory.enterEra(1);
        directory.mergeStored(List.of(left), List.of(), 5);
        directory.mergeStored(List.of(), List.of("n1"), 18);
        directory.enterEra(2);
        directory.replaceStored(List.of(left), 15);
        assertThat(directory.hasLeft(left)).isTrue();
        assertThat(servers()).isEmpty();
    }

    /** A row may be missing although its node runs, which the node itself then tells. */
    @Test
    void aNodeThatReportsItselfIsListedAlthoughItsRowWasDeleted() {
        EndpointRecord running = record("n1", "i1", "10.0.0.1:1", 1, 1);
        directory.mergeStored(List.of(running), List.of(), 5);
        directory.mergeStored(List.of(), List.of("n1"), 18);
        directory.merge(List.of(running));
        assertThat(servers()).containsExactly("i1");
    }

    /** The platform may start the node again under the same name. */
    @Test
    void aNodeThatStartsAgainAfterItLeftIsListed() {
        directory.mergeStored(List.of(record("n1", "i1", "10.0.0.1:1", 1, 1)), List.of(), 5);
        directory.mergeStored(List.of(), List.of("n1"), 18);
        directory.mergeStored(List.of(record("n1", "i2", "10.0.0.1:1", 2, 1)), List.of(), 19);
        assertThat(servers()).containsExactly("i2");
    }

    /** A peer with an older table must not bring removed nodes back. */
    @Test
    void olderTableIsIgnored() {
        directory.replaceStored(List.of(), 7);
        directory.replaceStored(List.of(record("n1", "i1", "10.0.0.1:1", 1, 1)), 6);
        assertThat(servers()).isEmpty();
    }
}
