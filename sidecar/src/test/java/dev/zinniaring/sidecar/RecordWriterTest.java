package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.model.EndpointRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RecordWriterTest {
    private static final EndpointRecord FIRST =
            ServerDirectoryTest.record("n1", "i1", "10.0.0.1:1", 3, 1);
    private static final EndpointRecord SECOND =
            ServerDirectoryTest.record("n1", "i1", "10.0.0.1:1", 3, 2);

    private final ManualScheduler scheduler =
            new ManualScheduler(ManualClock.startingAt(Instant.EPOCH));
    private final FakeRowStore store = new FakeRowStore();
    private final RecordWriter writer =
            new RecordWriter(store, "t", "n1", scheduler, new SplittableRandom(1));

    private EndpointRecord stored() throws SidecarException {
        return RecordCodec.decode(store.value("n1")).get(0);
    }

    @Test
    void recordIsWrittenOnce() throws SidecarException {
        writer.write(FIRST);
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(store.calls).containsExactly("put 0");
        assertThat(stored()).isEqualTo(FIRST);
        assertThat(writer.isUpToDate()).isTrue();
    }

    /** A write may have taken effect although its response was lost. */
    @Test
    void lostResponseIsResolvedByTheRowRevision() throws SidecarException {
        store.loseNextResponse = true;
        writer.write(FIRST);
        writer.write(SECOND);
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(stored()).isEqualTo(SECOND);
        assertThat(writer.isUpToDate()).isTrue();
    }

    /** A row left by an earlier incarnation of the node must not block writes of the new one. */
    @Test
    void rowOfAnEarlierIncarnationIsReplaced() throws SidecarException {
        writer.write(FIRST);
        scheduler.advance(Duration.ofSeconds(1));
        RecordWriter next = new RecordWriter(store, "t", "n1", scheduler, new SplittableRandom(1));
        next.write(SECOND);
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(stored()).isEqualTo(SECOND);
    }

    /** The store may lose an acknowledged row when it is restored from a copy. */
    @Test
    void aRecordThatTheStoreHasLostIsWrittenAgain() throws SidecarException {
        writer.write(FIRST);
        store.loseRows();
        writer.writeAgain();
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(stored()).isEqualTo(FIRST);
        assertThat(writer.isUpToDate()).isTrue();
    }

    /** The write may have been executed before the restore and its response arrive after it. */
    @Test
    void aWriteUnderWayDuringTheRestoreIsRepeated() {
        store.holdNextResponse = true;
        writer.write(FIRST);
        store.loseRows();
        writer.writeAgain();
        store.heldResponses.forEach(response -> response.complete(2L));
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(store.contains("n1")).isTrue();
    }

    @Test
    void onlyTheLatestRecordIsWrittenAfterAnOutage() throws SidecarException {
        store.down = true;
        writer.write(FIRST);
        scheduler.advance(Duration.ofSeconds(3));
        writer.write(SECOND);
        store.down = false;
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(stored()).isEqualTo(SECOND);
        assertThat(store.calls.stream().filter("put 0"::equals).count()).isLessThan(8);
    }
}
