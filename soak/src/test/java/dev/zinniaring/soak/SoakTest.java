package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Plays short runs against real processes. */
class SoakTest {
    /** A change that breaks a promise under faults would otherwise show only in long runs. */
    @Test
    void aShortRunKeepsEveryPromise() throws Exception {
        Path directory = Path.of(System.getProperty("java.io.tmpdir"), "zinniaring-soak-test");
        Soak.Result result =
                Soak.builder(directory).seed(1).nodes(4).faultsMillis(6_000).build().play();
        assertThat(result.broken()).isEmpty();
        assertThat(result.served()).isGreaterThan(result.calls() / 2);
    }
}
