package dev.zinniaring.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.publish.VersionEntry;
import dev.zinniaring.standins.PlatformServer;
import dev.zinniaring.store.Fault;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.RequestKind;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * End-to-end test of concurrent commands over HTTP with lost responses: guards against a command
 * that reports a change as accepted although it is not in the history, or the reverse.
 */
class RacingCommandsTest {
    private static final int OPERATORS = 4;
    private static final int COMMANDS = 12;

    @TempDir private Path directory;

    @Test
    void concurrentCommandsReportTheirActualOutcome() throws Exception {
        MemoryPlatform platform = new MemoryPlatform(Clock.system());
        loseResponses(platform);
        ExecutorService threads = Executors.newFixedThreadPool(OPERATORS);
        try (PlatformServer server = PlatformServer.builder().platform(platform).start()) {
            List<Callable<Set<String>>> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                int id = i;
                operators.add(() -> publishChanges(server, id));
            }
            Set<String> accepted = new TreeSet<>();
            for (Future<Set<String>> operator : threads.invokeAll(operators)) {
                accepted.addAll(operator.get());
            }
            platform.faults().clear();
            platform.deliverDelayed();
            assertThat(hashes(platform)).isEqualTo(accepted).isNotEmpty();
        } finally {
            threads.shutdownNow();
        }
    }

    /** Injects a random fault, which can be {@link Fault#NONE}, into about half of the commits. */
    private static void loseResponses(MemoryPlatform platform) {
        SplittableRandom random = new SplittableRandom(11);
        List<Fault> faults = List.of(Fault.values());
        platform.faults()
                .rule(
                        (kind, key) -> {
                            synchronized (random) {
                                boolean faulty =
                                        kind == RequestKind.COMMIT && random.nextInt(2) == 0;
                                return faulty
                                        ? faults.get(random.nextInt(faults.size()))
                                        : Fault.NONE;
                            }
                        });
    }

    /** Publishes several changes and returns the hashes that the commands reported as accepted. */
    private Set<String> publishChanges(PlatformServer server, int id) throws Exception {
        Path settings = directory.resolve("settings-" + id + ".json");
        Files.writeString(
                settings,
                """
                {"mesh": "m", "author": "op%d",
                 "platform": {"tableUrl": "%s", "objectUrl": "%s"}}
                """
                        .formatted(id, server.tableUrl(), server.objectUrl()));
        Path tables = directory.resolve("tables-" + id + ".json");
        Set<String> accepted = new TreeSet<>();
        for (int i = 0; i < COMMANDS; i++) {
            Files.writeString(
                    tables,
                    "{\"pools\": [{\"name\": \"p%d-%d\", \"service\": \"s\"}]}".formatted(id, i));
            Outcome outcome = run(settings, "apply", tables.toString());
            assertThat(outcome.status).as(outcome.output).isIn(0, 4, 5, 6);
            if (outcome.status == 0 || (outcome.status == 5 && resolve(settings, outcome))) {
                accepted.add(hash(tables));
            }
        }
        return accepted;
    }

    private record Outcome(int status, String output) {}

    private static Outcome run(Path settings, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, UTF_8);
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--settings", settings.toString()));
        Ctl ctl = new Ctl(stream, stream, Clock.system(), length -> {});
        return new Outcome(ctl.run(all.toArray(String[]::new)), out.toString(UTF_8));
    }

    /** Retries {@code resolve} until it succeeds; the injected faults make some attempts fail. */
    private static boolean resolve(Path settings, Outcome unknown) {
        String token = unknown.output.strip().replaceAll("(?s).*resolve token ", "");
        for (int attempt = 0; attempt < 100; attempt++) {
            Outcome outcome = run(settings, "resolve", token);
            if (outcome.status == 0) {
                return outcome.output.startsWith("accepted as version");
            }
        }
        throw new AssertionError("token " + token + " was not resolved in 100 attempts");
    }

    private static String hash(Path tables) throws Exception {
        return TablesCodec.hash(TablesCodec.encode(TablesCodec.decode(Files.readAllBytes(tables))));
    }

    private static Set<String> hashes(MemoryPlatform platform) throws Exception {
        Set<String> hashes = new TreeSet<>();
        Publisher publisher = Publisher.builder("m", platform.tables(), platform.objects()).build();
        for (VersionEntry entry : publisher.history(OPERATORS * COMMANDS)) {
            assertThat(hashes.add(entry.hash())).isTrue();
        }
        return hashes;
    }
}
