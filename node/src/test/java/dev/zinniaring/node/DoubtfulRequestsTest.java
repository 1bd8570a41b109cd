package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.DoubtfulTraffic;
import dev.zinniaring.calls.StrictServer;
import java.net.URI;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A server must get what a client sent, or nothing; see {@link DoubtfulTraffic} for the options.
 */
class DoubtfulRequestsTest {
    private static final int MAX_REPORTED = 8;

    /** Guards against requests that are smuggled inside another one or changed on their way. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerGetsWhatAClientSentOrNothing(boolean beside) throws Exception {
        ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();
        try (StrictServer server = new StrictServer();
                TestMesh mesh = new TestMesh()) {
            TestMesh.TestNode entry = mesh.node("entry");
            TestMesh.TestNode owner = beside ? entry : mesh.node("owner");
            announcer.scheduleAtFixedRate(
                    () -> owner.serve("s1", "katalog", server.address()), 1, 1, TimeUnit.SECONDS);
            owner.serve("s1", "katalog", server.address());

            List<String> faults =
                    new DoubtfulTraffic(URI.create(entry.url("/")).getPort(), server)
                            .prefix("/read/")
                            .maxDeadlineMillis(5_000)
                            .highBytes()
                            .play();

            assertThat(faults.stream().limit(MAX_REPORTED))
                    .as("%d faults", faults.size())
                    .isEmpty();
        } finally {
            announcer.shutdownNow();
        }
    }
}
