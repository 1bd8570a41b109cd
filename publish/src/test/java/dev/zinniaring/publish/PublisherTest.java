package dev.zinniaring.publish;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.store.Fault;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.RequestKind;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PublisherTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.ofEpochMilli(1_000));
    private final MemoryPlatform platform = new MemoryPlatform(clock, clock::advance);
    private final Publisher publisher =
            Publisher.builder("m", platform.tables(), platform.objects())
                    .clock(clock)
                    .author("ines")
                    .random(new SplittableRandom(5))
                    .build();

    @Test
    void acceptedChangesAreNumberedFromOne() throws PublishException {
        assertThat(publisher.source().head().number()).isZero();
        VersionEntry first = publisher.publish(tables("a"));
        assertThat(first.number()).isEqualTo(1);
        assertThat(first.acceptedAtMillis()).isEqualTo(1_000);
        VersionEntry second = publisher.publish(tables("b"), 1);
        assertThat(publisher.history(10)).containsExactly(second, first);
        assertThat(publisher.history(1)).containsExactly(second);
        assertThat(publisher.version(1).tables()).isEqualTo(tables("a"));
        assertThat(publisher.source().head().hash()).isEqualTo(second.hash());
    }

    @Test
    void aChangeBasedOnAnOutdatedVersionIsRejectedWithTheLatestNumber() throws PublishException {
        publisher.publish(tables("a"));
        publisher.publish(tables("b"));
        assertThatThrownBy(() -> publisher.publish(tables("c"), 1))
                .isInstanceOfSatisfying(
                        PublishConflictException.class,
                        e -> assertThat(e.latestNumber()).isEqualTo(2));
        assertThat(publisher.source().head().number()).isEqualTo(2);
    }

    /** Guards against publishing an old number again, which nodes would reject. */
    @Test
    void aRollbackPublishesOldContentUnderAHigherNumber() throws PublishException {
        VersionEntry first = publisher.publish(tables("a"));
        publisher.publish(tables("b"));
        VersionEntry third = publisher.rollback(1);
        assertThat(third.number()).isEqualTo(3);
        assertThat(third.hash()).isEqualTo(first.hash());
        assertThatThrownBy(() -> publisher.rollback(9))
                .isInstanceOf(PublishRefusedException.class)
                .hasMessageContaining("9");
    }

    @Test
    void invalidContentIsRejectedBeforeAnythingIsWritten() {
        Route lost =
                new Route("r", "*", "/", new TreeSet<>(), "none", false, 10, 0, "missing-pool");
        Tables bad = Tables.of(List.of(), List.of(lost), List.of());
        assertThatThrownBy(() -> publisher.publish(bad))
                .isInstanceOf(PublishRefusedException.class)
                .hasMessageContaining("missing-pool");
        assertThat(platform.counts().writes()).isZero();
    }

    @Test
    void storedBytesThatDoNotMatchTheirHashAreRejected() throws Exception {
        VersionEntry entry = publisher.publish(tables("a"));
        platform.objects().put("tables/" + entry.hash(), new byte[] {'{', '}'});
        assertThatThrownBy(() -> publisher.source().body(entry.hash()))
                .isInstanceOf(PublishCorruptException.class);
        assertThatThrownBy(() -> publisher.rollback(1)).isInstanceOf(PublishCorruptException.class);
        assertThat(publisher.source().head().number()).isEqualTo(1);
    }

    /**
     * Publishes once, with the listed faults for the requests in order: head, body, commit, token
     * row, abort, token row. Guards against a lost answer that is taken for success or failure.
     */
    @ParameterizedTest
    @CsvSource({
        "UNAVAILABLE, PublishUnavailableException, 0",
        "THROTTLED, PublishUnavailableException, 0",
        "NONE LOST_AFTER_EFFECT, PublishUnavailableException, 0",
        "NONE NONE UNAVAILABLE, PublishUnavailableException, 0",
        "NONE NONE THROTTLED, PublishUnavailableException, 0",
        "NONE NONE LOST_AFTER_EFFECT, accepted, 1",
        "NONE NONE LOST_BEFORE_EFFECT, PublishUnavailableException, 0",
        "NONE NONE LOST_AND_DELAYED, PublishUnavailableException, 0",
        "NONE NONE LOST_AFTER_EFFECT UNAVAILABLE, accepted, 1",
        "NONE NONE LOST_BEFORE_EFFECT NONE LOST_AFTER_EFFECT, PublishUnavailableException, 0",
        "NONE NONE LOST_AND_DELAYED NONE LOST_AND_DELAYED, PublishUnavailableException, 0",
        "NONE NONE LOST_AFTER_EFFECT DOWN, PublishOutcomeUnknownException, 1",
        "NONE NONE LOST_BEFORE_EFFECT DOWN, PublishOutcomeUnknownException, 0",
        "NONE NONE LOST_AND_DELAYED DOWN, PublishOutcomeUnknownException, 0",
        "NONE NONE LOST_AND_DELAYED NONE DOWN, PublishOutcomeUnknownException, 0"
    })
    void lostAnswersAreResolvedThroughTheTokenRow(String faults, String reported, long number)
            throws Exception {
        injectFaults(faults);
        Throwable failure = catchThrowable(() -> publisher.publish(tables("a")));
        platform.faults().clear();
        assertThat(failure == null ? "accepted" : failure.getClass().getSimpleName())
                .isEqualTo(reported);
        if (failure instanceof PublishOutcomeUnknownException unknown) {
            assertThat(publisher.resolve(unknown.token()).number()).isEqualTo(number);
        }
        platform.deliverDelayed();
        assertThat(publisher.source().head().number()).isEqualTo(number);
    }

    /**
     * Guards against a process that dies during its commit and leaves an outcome that nobody can
     * determine.
     */
    @ParameterizedTest
    @CsvSource({"LOST_AFTER_EFFECT, 1", "LOST_BEFORE_EFFECT, 0", "LOST_AND_DELAYED, 0"})
    void aPublicationOfACrashedProcessIsResolvedByItsToken(Fault fault, long number)
            throws PublishException {
        List<String> tokens = new ArrayList<>();
        Publisher crashing =
                Publisher.builder("m", platform.tables(), platform.objects())
                        .beforeCommit(tokens::add)
                        .build();
        platform.faults()
                .rule(
                        (kind, key) -> {
                            if (key.contains("/token/")) {
                                throw new IllegalStateException("simulated process crash");
                            }
                            return kind == RequestKind.COMMIT ? fault : Fault.NONE;
                        });
        assertThatThrownBy(() -> crashing.publish(tables("a")))
                .isInstanceOf(IllegalStateException.class);
        platform.faults().clear();
        assertThat(publisher.resolve(tokens.get(0)).number()).isEqualTo(number);
        platform.deliverDelayed();
        assertThat(publisher.source().head().number()).isEqualTo(number);
    }

    /** Guards against a publication that is accepted after it was resolved as aborted. */
    @Test
    void aPublicationThatWasResolvedAsAbortedIsRejected() throws PublishException {
        String token = new TokenSource(new SplittableRandom(5)).next();
        Publisher resolver =
                Publisher.builder("m", platform.tables(), platform.objects())
                        .random(new SplittableRandom(6))
                        .build();
        assertThat(resolver.resolve(token).accepted()).isFalse();
        Publisher late =
                Publisher.builder("m", platform.tables(), platform.objects())
                        .random(new SplittableRandom(5))
                        .build();
        assertThatThrownBy(() -> late.publish(tables("a")))
                .isInstanceOf(PublishRefusedException.class)
                .hasMessageContaining(token);
        assertThat(late.source().head().number()).isZero();
        assertThatThrownBy(() -> publisher.resolve("xyz"))
                .isInstanceOf(PublishRefusedException.class);
    }

    /** Guards against a retry of the commit whose token the platform has forgotten. */
    @Test
    void aRefusedRetryOfAnAppliedCommitIsReportedAsAccepted() throws Exception {
        DuplicateCommitTables duplicating = new DuplicateCommitTables(platform.tables());
        Publisher repeating = Publisher.builder("m", duplicating, platform.objects()).build();
        assertThat(repeating.publish(tables("a")).number()).isEqualTo(1);
    }

    @Test
    void marksOnlyIncrease() throws PublishException {
        VersionSource source = publisher.source();
        source.putMark("10.0.0.1:7000", 3);
        source.putMark("10.0.0.1:7000", 2);
        source.putMark("10.0.0.2:7000", 5);
        assertThat(source.marks()).containsEntry("10.0.0.1:7000", 3L).hasSize(2);
    }

    @Test
    void theHeadIsReturnedAgainOnlyAfterAChange() throws PublishException {
        publisher.publish(tables("a"));
        Head head = publisher.source().headIfChanged(0).orElseThrow();
        assertThat(publisher.source().headIfChanged(head.revision())).isEmpty();
        publisher.publish(tables("b"));
        assertThat(publisher.source().headIfChanged(head.revision()).orElseThrow().number())
                .isEqualTo(2);
    }

    private void injectFaults(String faults) throws PlatformException {
        Queue<String> queue = new ArrayDeque<>(Arrays.asList(faults.split(" ")));
        platform.faults().rule((RequestKind kind, String key) -> nextFault(queue));
    }

    private static Fault nextFault(Queue<String> queue) {
        if ("DOWN".equals(queue.peek())) {
            return Fault.UNAVAILABLE;
        }
        return queue.isEmpty() ? Fault.NONE : Fault.valueOf(queue.remove());
    }

    private static Tables tables(String name) {
        Pool pool = new Pool(name, "service", BalancePolicy.LEAST_LOADED, 1, 1, 1);
        return Tables.of(List.of(), List.of(), List.of(pool));
    }
}
