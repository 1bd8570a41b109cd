package dev.zinniaring.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.standins.PlatformServer;
import dev.zinniaring.store.Fault;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.RequestKind;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CtlTest {
    private static final String PT = Path.of("..", "samples", "pt-centro", "tables").toString();
    private static final String SE = Path.of("..", "samples", "se-mid", "tables").toString();

    @TempDir private Path directory;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = new MemoryPlatform(clock, clock::advance);
    private final PlatformServer server = PlatformServer.builder().platform(platform).start();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<Runnable> atPause = new ArrayList<>();
    private FakeNodes nodes;

    @BeforeEach
    void startNodes() throws IOException {
        nodes = new FakeNodes(3);
        for (int id = 0; id < 3; id++) {
            nodes.version(id, 0, "");
        }
        settings(List.of(nodes.address(0), nodes.address(1)));
    }

    @AfterEach
    void stop() {
        nodes.close();
        server.close();
        assertThat(err.toString(UTF_8)).doesNotContain("\tat ").doesNotContain("internal error");
    }

    /** Nodes ignore a number that they hold already, whatever its content. */
    @Test
    void aChangeGetsANumberAboveThoseThatThePlatformHasLost() throws IOException {
        assertThat(run("apply", PT)).isZero();
        nodes.version(0, 11, "");
        assertThat(run("apply", PT)).isZero();
        assertThat(err()).contains("nodes serve version 11").contains("latest is 1");
        assertThat(out()).contains("version 12, hash ");
        assertThat(run("history", "--limit", "5")).isZero();
        assertThat(out().lines()).hasSize(2);
    }

    @Test
    void appliedTablesAppearInHistoryDiffAndGet() throws IOException {
        assertThat(run("apply", PT)).isZero();
        assertThat(out()).contains("+ route orders").contains("version 1, hash ");
        assertThat(err()).containsPattern("publishing with token [0-9a-f]{32}");
        assertThat(run("diff", SE)).isZero();
        assertThat(out()).contains("- route orders").contains("+ route fees");
        assertThat(run("apply", SE, "--output", "json")).isZero();
        assertThat(out()).contains("\"accepted\":true,\"number\":2");
        assertThat(run("history", "--limit", "5")).isZero();
        assertThat(out().lines())
                .hasSize(2)
                .first()
                .asString()
                .startsWith("2  1970")
                .contains("ana");
        assertThat(run("get", "1")).isZero();
        Path copy = directory.resolve("copy.json");
        Files.writeString(copy, out());
        assertThat(run("diff", "--against", "1", copy.toString())).isZero();
        assertThat(out()).contains("no changes");
    }

    @Test
    void rollbackPublishesOldContentAsNewVersion() {
        run("apply", PT);
        run("apply", SE);
        assertThat(run("rollback", "1", "--expect-version", "2", "--output", "json")).isZero();
        assertThat(out()).contains("\"number\":3");
        assertThat(run("apply", PT)).isZero();
        assertThat(out()).contains("no changes; version 3");
        assertThat(run("rollback", "7")).isEqualTo(3);
    }

    @Test
    void dryRunPublishesNothing() {
        assertThat(run("apply", "--dry-run", PT)).isZero();
        assertThat(out()).contains("+ pool encomendas").contains("nothing was published");
        assertThat(platform.counts().writes()).isZero();
    }

    /** Guards against an operator overwriting a concurrent change without having seen it. */
    @Test
    void changeBasedOnOutdatedVersionIsRejected() {
        run("apply", PT);
        assertThat(run("apply", SE, "--expect-version", "0", "--output", "json")).isEqualTo(4);
        assertThat(err()).contains("\"winner\":1").contains("\"status\":4");
        assertThat(run("apply", SE, "--expect-version", "1")).isZero();
    }

    @Test
    void platformOutageHasItsOwnExitStatus() {
        platform.faults().outage(true);
        assertThat(run("apply", PT)).isEqualTo(6);
        assertThat(run("history")).isEqualTo(6);
        assertThat(run("status")).isEqualTo(6);
        assertThat(out()).contains("latest version unknown").contains("n0  zone z  version 0");
    }

    @ParameterizedTest
    @CsvSource({
        "LOST_AFTER_EFFECT, accepted as version 1",
        "LOST_AND_DELAYED, 'not accepted, and it never will be'"
    })
    void unknownOutcomeIsResolvedByToken(Fault fault, String settled) {
        platform.faults()
                .rule(
                        (kind, key) ->
                                kind == RequestKind.COMMIT
                                        ? fault
                                        : key.contains("/token/") ? Fault.UNAVAILABLE : Fault.NONE);
        assertThat(run("apply", PT, "--output", "json")).isEqualTo(5);
        String token = err().replaceAll("(?s).*\"token\":\"([0-9a-f]{32})\".*", "$1");
        platform.faults().clear();
        assertThat(run("resolve", token)).isZero();
        assertThat(out()).contains(settled);
        platform.deliverDelayed();
        run("resolve", token);
        assertThat(out()).contains(settled);
    }

    @ParameterizedTest
    @CsvSource({
        "'', 2, no command",
        "aply x, 2, unknown command aply",
        "apply, 2, DIRECTORY",
        "apply x --expect-version y, 2, y",
        "validate no-such-directory, 2, no-such-directory",
        "history --limit 0, 2, --limit",
        "dump nonsense, 2, nonsense",
        "resolve nonsense, 3, nonsense",
        "get, 3, nothing has been published",
        "rollback 1, 3, version 1 does not exist"
    })
    void invalidCommandsReportTheirErrorAndExitStatus(String line, int status, String explained) {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(status);
        assertThat(err()).contains(explained);
    }

    @Test
    void allProblemsInSettingsAreReported() throws IOException {
        Files.writeString(
                directory.resolve("settings.json"),
                "{\"mesh\": \"A b\", \"platform\": {\"tableUrl\": \"x\", \"timeoutMilis\": 1},"
                        + " \"nodes\": [\"n\"]}");
        assertThat(run("history")).isEqualTo(2);
        assertThat(err())
                .contains(
                        "mesh: A b", "author: missing", "tableUrl: x", "timeoutMilis", "nodes: n");
    }

    @Test
    void validateRejectsInvalidTablesWithoutAccessingPlatform() throws IOException {
        Path file = directory.resolve("bad.json");
        Files.writeString(file, "{\"routes\": [{\"name\": \"r\", \"rank\": \"x\"}]}");
        assertThat(run("validate", file.toString())).isEqualTo(3);
        assertThat(err()).contains("deadlineMillis");
        assertThat(run("validate", PT)).isZero();
        assertThat(out()).contains("valid: 4 ranks, 4 pools, 4 routes");
        assertThat(platform.counts().reads()).isZero();
    }

    @Test
    void waitEndsWhenEveryNodeFollows() {
        atPause.add(() -> nodes.version(0, 1, ""));
        atPause.add(() -> nodes.version(1, 1, ""));
        atPause.add(() -> nodes.version(2, 1, ""));
        assertThat(run("apply", PT, "--wait")).isZero();
        assertThat(err())
                .contains("version 1: 1 of 3 nodes follow")
                .contains("version 1: 2 of 3 nodes follow")
                .contains("version 1: 3 of 3 nodes follow");
    }

    @Test
    void waitFailsOnTimeoutOrWhenANodeRefuses() {
        assertThat(run("apply", PT, "--wait", "--wait-seconds", "3")).isEqualTo(1);
        assertThat(err()).contains("version 1 is accepted, but only 0 of 3 nodes follow");
        assertThat(out()).contains("version 1, hash");
        assertThat(clock.nanos()).isEqualTo(Duration.ofSeconds(3).toNanos());
        nodes.version(2, 1, ", \"refusedVersion\": 2");
        assertThat(run("apply", SE, "--wait")).isEqualTo(3);
        assertThat(err()).contains("node n2 refuses version 2");
    }

    /**
     * Guards against a wait that never ends because the settings list a VM that no longer exists.
     */
    @Test
    void unreachableNonMemberDoesNotBlockWait() throws IOException {
        try (FakeNodes gone = new FakeNodes(1)) {
            settings(List.of(nodes.address(0), gone.address(0)));
        }
        atPause.add(
                () -> {
                    for (int id = 0; id < 3; id++) {
                        nodes.version(id, 1, "");
                    }
                });
        assertThat(run("apply", PT, "--wait", "--output", "json")).isZero();
        assertThat(out()).contains("\"nodes\":3,\"following\":3");
        assertThat(run("status")).isZero();
        assertThat(out()).contains("latest version 1: 3 of 3 nodes follow").contains("unreachable");
    }

    @Test
    void dumpPrintsStateOfNodes() {
        assertThat(run("dump", "--output", "json")).isZero();
        assertThat(out()).contains("\"" + nodes.address(1) + "\":{\"calls\":1}");
        assertThat(run("dump", nodes.address(2))).isZero();
        assertThat(out()).contains("\"calls\" : 2");
    }

    @Test
    void helpAndVersionArePrinted() {
        assertThat(new Ctl(stream(out), stream(err), clock, this::pause).run("--version")).isZero();
        assertThat(out()).startsWith("zinniarctl ");
        assertThat(run("apply", "--help")).isZero();
        assertThat(out()).contains("--expect-version", "--wait", "--dry-run", "--settings");
    }

    private void settings(List<String> addresses) throws IOException {
        String list =
                addresses.stream().map(a -> "\"" + a + "\"").collect(Collectors.joining(", "));
        Files.writeString(
                directory.resolve("settings.json"),
                """
                {"mesh": "m", "author": "ana", "nodes": [%s],
                 "platform": {"tableUrl": "%s", "objectUrl": "%s"}}
                """
                        .formatted(list, server.tableUrl(), server.objectUrl()));
    }

    private int run(String... args) {
        out.reset();
        List<String> all = new ArrayList<>(List.of(args));
        all.add("--settings");
        all.add(directory.resolve("settings.json").toString());
        return new Ctl(stream(out), stream(err), clock, this::pause)
                .run(all.toArray(String[]::new));
    }

    private void pause(Duration length) {
        clock.advance(length);
        if (!atPause.isEmpty()) {
            atPause.remove(0).run();
        }
    }

    private String out() {
        return out.toString(UTF_8);
    }

    private String err() {
        return err.toString(UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, UTF_8);
    }
}
