package dev.zinniaring.publish;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Tables;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.Row;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the version history of competing operators over many interleavings, with lost and delayed
 * answers at every request of the protocol.
 *
 * <p>Guards against two failures. Without the token row, a publication whose delayed commit takes
 * effect after it was reported as not accepted leaves a version that was never reported, and a
 * publication whose answer was lost after it took effect is reported as failed. Without the aborted
 * state of the row, the first failure still occurs.
 */
class PublisherHistoryTest {
    private static final String MESH = "m";

    /** One command of an operator, identified by its author, and the outcome that it reported. */
    private record Action(String author, long base, Object outcome) {}

    @ParameterizedTest
    @MethodSource("seeds")
    void competingOperatorsReceiveCorrectOutcomes(long seed) throws Exception {
        Random choices = new Random(seed);
        int operators = 2 + choices.nextInt(3);
        int faultTenths = choices.nextInt(7);
        MemoryPlatform platform =
                new MemoryPlatform(ManualClock.startingAt(Instant.EPOCH), length -> {});
        List<Action> actions = Collections.synchronizedList(new ArrayList<>());
        List<Runnable> bodies = new ArrayList<>();
        for (int i = 0; i < operators; i++) {
            int id = i;
            RandomGenerator random = new SplittableRandom(seed * 31 + id);
            bodies.add(() -> operate(platform, id, random, actions));
        }
        new Interleaving(platform, seed, faultTenths / 10.0).run(bodies);
        boolean deliverFirst = seed % 2 == 0;
        if (deliverFirst) {
            platform.deliverDelayed();
        }
        List<Action> resolved = resolveUnknownOutcomes(platform, actions);
        platform.deliverDelayed();
        check(platform, resolved);
    }

    private static void operate(
            MemoryPlatform platform, int id, RandomGenerator random, List<Action> actions) {
        for (int i = 0; i < 3; i++) {
            String author = "op" + id + "-" + i;
            Publisher publisher = publisher(platform, author, random);
            int choice = random.nextInt(4);
            long number = 1 + random.nextInt(3);
            try {
                VersionEntry entry =
                        choice == 0
                                ? publisher.rollback(number)
                                : choice == 1
                                        ? publisher.publish(tables(author), number)
                                        : publisher.publish(tables(author));
                actions.add(new Action(author, entry.number() - 1, entry));
            } catch (PublishException e) {
                actions.add(new Action(author, number, e));
            }
        }
    }

    /** Replaces unknown outcomes by the result of resolving them, which is requested twice. */
    private static List<Action> resolveUnknownOutcomes(
            MemoryPlatform platform, List<Action> actions) throws PublishException {
        List<Action> resolved = new ArrayList<>();
        Publisher publisher = publisher(platform, "resolver", new SplittableRandom(99));
        for (Action action : actions) {
            if (action.outcome() instanceof PublishOutcomeUnknownException unknown) {
                Resolution resolution = publisher.resolve(unknown.token());
                assertThat(publisher.resolve(unknown.token())).isEqualTo(resolution);
                resolved.add(new Action(action.author(), action.base(), resolution));
            } else {
                resolved.add(action);
            }
        }
        return resolved;
    }

    private static void check(MemoryPlatform platform, List<Action> actions) throws Exception {
        List<VersionEntry> history = history(platform);
        for (Action action : actions) {
            List<VersionEntry> own =
                    history.stream().filter(e -> e.author().equals(action.author())).toList();
            Object outcome = action.outcome();
            if (outcome instanceof VersionEntry entry) {
                assertThat(own).as(action.toString()).containsExactly(entry);
            } else if (outcome instanceof Resolution resolution && resolution.accepted()) {
                assertThat(own).as(action.toString()).hasSize(1);
                assertThat(own.get(0).number()).isEqualTo(resolution.number());
            } else {
                assertThat(own).as(action.toString()).isEmpty();
            }
            if (outcome instanceof PublishConflictException conflict) {
                assertThat(history)
                        .as(action.toString())
                        .hasSizeGreaterThanOrEqualTo((int) conflict.latestNumber());
            }
        }
        Publisher publisher = publisher(platform, "reader", new SplittableRandom(98));
        for (VersionEntry entry : history) {
            assertThat(publisher.version(entry.number()).hash()).isEqualTo(entry.hash());
        }
    }

    /**
     * Returns all version rows after checking that their numbers have no gaps and end at the head.
     */
    private static List<VersionEntry> history(MemoryPlatform platform)
            throws PlatformException, PublishException {
        List<VersionEntry> entries = new ArrayList<>();
        for (Row row : platform.tables().scan("mesh/" + MESH + "/version/", 1_000)) {
            entries.add(RowCodec.decodeEntry(row));
            assertThat(row.revision()).as("a version row is written once").isEqualTo(1);
        }
        entries.sort((a, b) -> Long.compare(a.number(), b.number()));
        for (int i = 0; i < entries.size(); i++) {
            assertThat(entries.get(i).number()).isEqualTo(i + 1);
        }
        Publisher publisher = publisher(platform, "reader", new SplittableRandom(97));
        assertThat(publisher.source().head().number()).isEqualTo(entries.size());
        List<VersionEntry> reported = new ArrayList<>(publisher.history(1_000));
        Collections.reverse(reported);
        assertThat(reported).isEqualTo(entries);
        return entries;
    }

    private static Publisher publisher(
            MemoryPlatform platform, String author, RandomGenerator random) {
        return Publisher.builder(MESH, platform.tables(), platform.objects())
                .clock(ManualClock.startingAt(Instant.EPOCH))
                .author(author)
                .random(random)
                .build();
    }

    private static Tables tables(String name) {
        Pool pool = new Pool(name, "service", BalancePolicy.LEAST_LOADED, 1, 1, 1);
        return Tables.of(List.of(), List.of(), List.of(pool));
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE),
                new Random(20261204).longs(1500));
    }
}
