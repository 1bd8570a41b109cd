package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A server must get what a client sent, or nothing. To draw other or more requests: {@code mvn -o
 * -B -ntp -pl calls -am test -Dtest=DoubtfulRequestsTest -Dsurefire.failIfNoSpecifiedTests=false
 * -Dzinniaring.seed=SEED -Dzinniaring.requests=100000}.
 */
class DoubtfulRequestsTest {
    private static final int MAX_REPORTED = 8;

    /** Guards against requests that are smuggled inside another one or changed on their way. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerGetsWhatAClientSentOrNothing(boolean beside) throws Exception {
        try (StrictServer server = new StrictServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 16, beside)) {
            List<String> faults =
                    new DoubtfulTraffic(mesh.port(), server)
                            .caller("caller")
                            .maxDeadlineMillis(2_000)
                            .highBytes()
                            .play();
            assertThat(faults.stream().limit(MAX_REPORTED))
                    .as("%d faults", faults.size())
                    .isEmpty();
        }
    }
}
