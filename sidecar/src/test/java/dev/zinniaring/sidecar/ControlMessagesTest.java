package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.accounts.AccountUsage;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.rollout.VersionOutcomes;
import dev.zinniaring.rollout.VersionSplit;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ControlMessagesTest {
    private static final ControlMessages.Report REPORT =
            new ControlMessages.Report(
                    "n1",
                    Map.of("a", new AccountUsage(-1, 7)),
                    Map.of("s", Map.of("r", new VersionOutcomes(1, 2, 3, 4))));
    private static final ControlMessages.Decisions DECISIONS =
            new ControlMessages.Decisions(
                    Map.of("a", 0.25),
                    Map.of("s", new VersionSplit("v2", 1, RolloutState.RUNNING)));

    @Test
    void encodedMessagesDecodeToEqualValues() throws SidecarException {
        assertThat(ControlMessages.Report.decode(REPORT.encode())).isEqualTo(REPORT);
        assertThat(ControlMessages.Decisions.decode(DECISIONS.encode())).isEqualTo(DECISIONS);
        Digest digest =
                new Digest(7, 2, 9, 120, List.of(), 31, new ControlDigest(90, 4, "10.0.0.1:5"));
        assertThat(Digest.decode(digest.encode())).isEqualTo(digest);
    }

    /** Nodes of builds without control send shorter digests, and so do nodes that need none. */
    @Test
    void digestsWithoutControlAreDecoded() throws SidecarException {
        Digest digest = new Digest(7, 2, 9, 120, List.of(), 31);
        assertThat(Digest.decode(digest.encode()).control()).isEqualTo(ControlDigest.NONE);
    }

    /** Corruption anywhere in a message must raise no exception other than SidecarException. */
    @Test
    void corruptMessagesAreDecodedOrRejected() {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = i % 2 == 0 ? REPORT.encode() : DECISIONS.encode();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                ControlMessages.Report.decode(bytes);
                ControlMessages.Decisions.decode(bytes);
            } catch (SidecarException e) {
                assertThat(e).hasMessageContaining("malformed");
            }
        }
        assertThatThrownBy(() -> ControlMessages.Report.decode(new byte[0]))
                .isInstanceOf(SidecarException.class);
    }
}
