package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Executes a short soak run against real processes. */
class SoakTest {
    /** Guards against servers that get more than their limit, and a store restored from a copy. */
    @Test
    void aShortRunWithLimitsAndRestoresViolatesNoInvariant() throws Exception {
        Path directory = Path.of(System.getProperty("java.io.tmpdir"), "zinniaring-soak-added");
        Soak.Result result =
                Soak.builder(directory)
                        .seed(2)
                        .nodes(4)
                        .faultsMillis(6_000)
                        .addedKinds(true)
                        .build()
                        .run();
        assertThat(result.violations()).isEmpty();
        assertThat(result.served()).isGreaterThan(result.calls() / 2);
    }

    /** Guards against a request that ends one server after the other, odd rows and odd answers. */
    @Test
    void aShortRunWithOddRequestsRowsAndAnswersViolatesNoInvariant() throws Exception {
        Path directory = Path.of(System.getProperty("java.io.tmpdir"), "zinniaring-soak-odd");
        Soak.Result result =
                Soak.builder(directory)
                        .seed(3)
                        .nodes(6)
                        .faultsMillis(6_000)
                        .oddKinds(true)
                        .build()
                        .run();
        assertThat(result.violations()).isEmpty();
        assertThat(result.served()).isGreaterThan(result.calls() / 2);
    }

    /** Guards against answers that are not the caller's own, or not whole. */
    @Test
    void aShortRunWithServersThatStutterViolatesNoInvariant() throws Exception {
        Path directory = Path.of(System.getProperty("java.io.tmpdir"), "zinniaring-soak-stutter");
        Soak.Result result =
                Soak.builder(directory)
                        .seed(3)
                        .nodes(6)
                        .faultsMillis(6_000)
                        .stutterKinds(true)
                        .build()
                        .run();
        assertThat(result.violations()).isEmpty();
        assertThat(result.served()).isGreaterThan(result.calls() / 2);
    }

    /** Guards against a change that violates an invariant under faults, seen only in long runs. */
    @Test
    void aShortRunViolatesNoInvariant() throws Exception {
        Path directory = Path.of(System.getProperty("java.io.tmpdir"), "zinniaring-soak-test");
        Soak.Result result =
                Soak.builder(directory).seed(1).nodes(4).faultsMillis(6_000).build().run();
        assertThat(result.violations()).isEmpty();
        assertThat(result.served()).isGreaterThan(result.calls() / 2);
    }
}
