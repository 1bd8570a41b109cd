package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecordRoundTest {
    private static final String A = "10.0.0.1:7400";
    private static final String B = "10.0.0.2:7400";
    private static final String C = "10.0.0.3:7400";
    private final Seeds seeds = new Seeds(List.of(address(1), address(2), address(3)));
    private final RecordRound round = new RecordRound(7, seeds);

    private static InetSocketAddress address(int host) {
        return new InetSocketAddress("10.0.0." + host, 7400);
    }

    // Guards against counting a seed that lost its mark between two acknowledgements.
    @Test
    void restartedSeedDoesNotCountForThePhaseBeforeItsRestart() {
        round.nextPhase();
        acknowledge(A, 1, 100);
        acknowledge(B, 1, 100);
        assertThat(round.majorityAnswered()).isTrue();
        assertThat(round.complete()).isFalse();
        round.nextPhase();
        acknowledge(A, 2, 200);
        acknowledge(B, 2, 100);
        assertThat(round.complete()).isFalse();
        round.nextPhase();
        acknowledge(A, 3, 200);
        acknowledge(B, 3, 100);
        assertThat(round.complete()).isTrue();
    }

    // Guards against a late acknowledgement of an earlier phase that is taken for one of a later
    // phase.
    @Test
    void repeatedAcknowledgementOfTheFirstPhaseDoesNotCompleteTheSecond() {
        round.nextPhase();
        acknowledge(A, 1, 100);
        acknowledge(B, 1, 100);
        round.nextPhase();
        acknowledge(A, 1, 100);
        acknowledge(B, 1, 100);
        assertThat(round.complete()).isFalse();
        acknowledge(A, 2, 100);
        acknowledge(B, 2, 100);
        assertThat(round.complete()).isTrue();
    }

    @Test
    void unconfirmedAndUnknownSeedsDoNotCount() {
        round.nextPhase();
        round.acknowledged(A, new RecordAck(7, 1, false, 100));
        round.acknowledged("10.0.0.9:7400", new RecordAck(7, 1, true, 100));
        round.acknowledged(B, new RecordAck(6, 1, true, 100));
        assertThat(round.acknowledgements()).isZero();
    }

    // Guards against counting marks on the platform that no seed holds any more.
    @Test
    void rowsCompleteOnlyAfterTheSameIncarnationsAcknowledgeAgain() {
        PlatformRound rows = new PlatformRound(7, seeds);
        Map<String, Long> platform = new HashMap<>();
        rows.read(platform);
        platform.put(A + "@100", rows.nextValue());
        platform.put(B + "@100", rows.nextValue());
        rows.read(platform);
        assertThat(rows.complete()).isFalse();
        platform.put(A + "@200", rows.nextValue());
        platform.put(B + "@100", rows.nextValue());
        rows.read(platform);
        platform.put(A + "@200", rows.nextValue());
        platform.put(B + "@100", rows.nextValue());
        rows.read(platform);
        assertThat(rows.complete()).as("A has restarted").isFalse();
    }

    // Guards against a round that cannot combine the rows of readers that reach different seeds.
    @Test
    void rowsForTwoSeedsFormAMajority() {
        PlatformRound rows = new PlatformRound(7, seeds);
        Map<String, Long> platform = new HashMap<>();
        for (int tick = 0; tick < 4; tick++) {
            rows.read(platform);
            platform.put(A + "@100", rows.nextValue());
            platform.put(C + "@100", rows.nextValue());
        }
        rows.read(platform);
        assertThat(rows.complete()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "5, 5, , , 5",
        "5, 7, , , 7", // the silent seed may have 7 as well
        "5, 7, 5, , 5", // only one of three has 7
        "7, 7, 5, , 7",
        "5, 7, 7, , 7",
        "5, , , , ", // no majority
        "5, , , 9, 9", // no version above the head was ever active
        "5, 9, , 7, 7"
    })
    void floorIsTheHighestNumberThatAMajorityMayHaveRecorded(
            Long a, Long b, Long c, Long head, Long floor) {
        FloorDecision decision = new FloorDecision(seeds);
        addReply(decision, A, a);
        addReply(decision, B, b);
        addReply(decision, C, c);
        if (head != null) {
            decision.readHead(head);
        }
        assertThat(decision.floor().isPresent()).isEqualTo(floor != null);
        assertThat(decision.floor().orElse(-1)).isEqualTo(floor == null ? -1 : floor);
    }

    // Guards against a seed whose answers count before it knows what its earlier incarnation had
    // recorded.
    @Test
    void seedIsConfirmedByAMajorityOfOthersOrByTheHead() {
        SeedState state = new SeedState(A, seeds, 1);
        state.addReply(A, new MarkReply(0, 9, true));
        state.addReply(B, new MarkReply(0, 5, true));
        state.addReply(C, new MarkReply(0, 8, false));
        assertThat(state.confirmed()).isFalse();
        state.addReply(C, new MarkReply(0, 6, true));
        assertThat(state.confirmed()).isTrue();
        assertThat(state.mark()).isEqualTo(6);
        SeedState other = new SeedState(B, seeds, 1);
        other.record(new RecordRequest(4, 1));
        assertThat(other.answer(new MarkQuery(3))).isEqualTo(new MarkReply(3, 4, false));
        other.readHead(6);
        assertThat(other.answer(new MarkQuery(3))).isEqualTo(new MarkReply(3, 6, true));
    }

    private static void addReply(FloorDecision decision, String seed, Long mark) {
        if (mark != null) {
            decision.addReply(seed, new MarkReply(0, mark, true));
        }
    }

    private void acknowledge(String seed, int phase, long incarnation) {
        round.acknowledged(seed, new RecordAck(7, phase, true, incarnation));
    }
}
