package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeMainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @ParameterizedTest
    @CsvSource({
        "'--help',             0",
        "'--version',          0",
        "'',                   2",
        "'--nothing',          2",
        "'--settings',         2",
        "'--settings /no/such/file', 2",
        "'--dev --check-settings',   2",
    })
    void returnsTheExitStatusForTheOptions(String options, int status) {
        String[] args = options.isEmpty() ? new String[0] : options.split(" ");

        assertThat(run(args)).isEqualTo(status);
        assertThat(status == 0 ? out.size() : err.size()).isPositive();
        assertThat(err.toString()).doesNotContain("\tat ");
    }

    @Test
    void listsTheProblemsOfInvalidSettings(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("bad.json");
        Files.writeString(file, "{\"mesh\": \"m\", \"zone\": 3}");

        assertThat(run("--settings", file.toString())).isEqualTo(2);
        assertThat(err.toString()).contains("nodeId: missing").contains("zone: 3");
    }

    /** Guards against sample settings that the settings reader rejects. */
    @ParameterizedTest
    @CsvSource({
        "pt-centro, a",
        "pt-centro, b",
        "pt-centro, c",
        "se-mid, a",
        "se-mid, b",
        "se-mid, c"
    })
    void acceptsTheSampleSettings(String deployment, String zone) {
        String file = "../samples/" + deployment + "/settings/node-" + zone + ".json";

        assertThat(run("--settings", file, "--check-settings")).as(err.toString()).isZero();
    }

    private int run(String... args) {
        return NodeMain.run(args, new PrintStream(out), new PrintStream(err));
    }
}
