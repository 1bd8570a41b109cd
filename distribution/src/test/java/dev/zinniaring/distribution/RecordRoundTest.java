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

    // Guards against a late acknowledgement of an earlier phase that is taken for a new one.
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

    // Guards against marks on the platform that no seed holds any more.
    @Test
    void rowsCompleteOnlyAfterTheSameLivesWereAskedAgain() {
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
        assertThat(rows.complete()).as("the first life of A is over").isFalse();
    }

    @Test
    void rowsOfTwoReadersMakeAMajority() {
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
        "5, , , 9, 9", // the head bounds what was ever in force
        "5, 9, , 7, 7"
    })
    void floorIsTheHighestNumberThatAMajorityMayHaveRecorded(
            Long a, Long b, Long c, Long head, Long floor) {
        FloorDecision decision = new FloorDecision(seeds);
        hear(decision, A, a);
        hear(decision, B, b);
        hear(decision, C, c);
        if (head != null) {
            decision.readHead(head);
        }
        assertThat(decision.floor().isPresent()).isEqualTo(floor != null);
        assertThat(decision.floor().orElse(-1)).isEqualTo(floor == null ? -1 : floor);
    }

    // Guards against a seed that answers before it knows what its earlier life had recorded.
    @Test
    void seedIsConfirmedByAMajorityOfOthersOrByTheHead() {
        SeedRegister register = new SeedRegister(A, seeds, 1);
        register.heard(A, new MarkReply(0, 9, true));
        register.heard(B, new MarkReply(0, 5, true));
        register.heard(C, new MarkReply(0, 8, false));
        assertThat(register.confirmed()).isFalse();
        register.heard(C, new MarkReply(0, 6, true));
        assertThat(register.confirmed()).isTrue();
        assertThat(register.mark()).isEqualTo(6);
        SeedRegister other = new SeedRegister(B, seeds, 1);
        other.record(new RecordRequest(4, 1));
        assertThat(other.answer(new MarkQuery(3))).isEqualTo(new MarkReply(3, 4, false));
        other.readHead(6);
        assertThat(other.answer(new MarkQuery(3))).isEqualTo(new MarkReply(3, 6, true));
    }

    private static void hear(FloorDecision decision, String seed, Long mark) {
        if (mark != null) {
            decision.heard(seed, new MarkReply(0, mark, true));
        }
    }

    private void acknowledge(String seed, int phase, long life) {
        round.acknowledged(seed, new RecordAck(7, phase, true, life));
    }
}
