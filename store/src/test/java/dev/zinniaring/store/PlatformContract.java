package dev.zinniaring.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Contract tests for implementations of the platform's interfaces, including injected faults. */
public abstract class PlatformContract {
    protected final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    protected final MemoryPlatform platform = new MemoryPlatform(clock, clock::advance);

    protected abstract TableService tables();

    protected abstract ObjectStore objects();

    @Test
    public void readingAbsentRowsAndObjectsReturnsEmpty() throws PlatformException {
        assertThat(tables().get("mesh/m/head")).isEmpty();
        assertThat(tables().getIfChanged("mesh/m/head", 0)).isEmpty();
        assertThat(tables().scan("mesh/", 10)).isEmpty();
        assertThat(objects().get("tables/none")).isEmpty();
    }

    @Test
    public void revisionIncreasesWithEachWriteOfARow() throws PlatformException {
        assertThat(tables().commit(put("t1", "a", "one"))).isTrue();
        assertThat(tables().commit(put("t2", "b", "other"))).isTrue();
        assertThat(tables().commit(put("t3", "a", "two"))).isTrue();
        Row row = tables().get("a").orElseThrow();
        assertThat(row.key()).isEqualTo("a");
        assertThat(row.revision()).isEqualTo(2);
        assertThat(row.value()).isEqualTo("two".getBytes(UTF_8));
    }

    @Test
    public void unchangedRowIsNotReturnedAgain() throws PlatformException {
        tables().commit(put("t1", "a/b c%2F?", "one"));
        assertThat(tables().getIfChanged("a/b c%2F?", 0)).isPresent();
        assertThat(tables().getIfChanged("a/b c%2F?", 1)).isEmpty();
        tables().commit(put("t2", "a/b c%2F?", "two"));
        assertThat(tables().getIfChanged("a/b c%2F?", 1).orElseThrow().revision()).isEqualTo(2);
    }

    /** A service that was restored from a copy gives out its revisions again. */
    @Test
    public void aRowWithALowerRevisionThanTheKnownOneIsReturned() throws PlatformException {
        tables().commit(put("t1", "a", "one"));
        assertThat(tables().getIfChanged("a", 18).orElseThrow().revision()).isEqualTo(1);
    }

    @Test
    public void scanReturnsRowsWithPrefixInKeyOrder() throws PlatformException {
        for (String key : List.of("m/2", "m/1", "n/1", "l/1")) {
            tables().commit(put("t-" + key, key, key));
        }
        assertThat(tables().scan("m/", 10)).extracting(Row::key).containsExactly("m/1", "m/2");
        assertThat(tables().scan("", 3)).extracting(Row::key).containsExactly("l/1", "m/1", "m/2");
    }

    /** Guards against a transaction that is applied partially. */
    @ParameterizedTest
    @CsvSource({"1, 0, true", "0, 0, false", "2, 0, false", "1, 1, false"})
    public void transactionAppliesAllWritesOrNone(long first, long second, boolean applied)
            throws PlatformException {
        tables().commit(put("t1", "first", "old"));
        Transaction transaction =
                Transaction.withToken("t2")
                        .requireRevision("first", first)
                        .requireRevision("second", second)
                        .put("first", "new".getBytes(UTF_8))
                        .put("second", "new".getBytes(UTF_8))
                        .build();
        assertThat(tables().commit(transaction)).isEqualTo(applied);
        assertThat(text("first")).isEqualTo(applied ? "new" : "old");
        assertThat(tables().get("second").isPresent()).isEqualTo(applied);
    }

    /** Guards against a retry that conflicts with its own first attempt or writes twice. */
    @Test
    public void retriedTransactionIsAppliedOnceAndReturnsSameOutcome() throws PlatformException {
        Transaction create =
                Transaction.withToken("t1").requireAbsent("a").put("a", new byte[1]).build();
        assertThat(tables().commit(create)).isTrue();
        assertThat(tables().commit(create)).isTrue();
        assertThat(tables().get("a").orElseThrow().revision()).isEqualTo(1);
    }

    @Test
    public void putReplacesWholeObject() throws PlatformException {
        objects().put("tables/x", new byte[] {1, 2, 3});
        objects().put("tables/x", new byte[] {0, -1});
        assertThat(objects().get("tables/x").orElseThrow()).containsExactly(0, -1);
        objects().put("tables/empty", new byte[0]);
        assertThat(objects().get("tables/empty").orElseThrow()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    public void outageRejectsEveryRequestWithoutEffect(RequestKind kind) throws PlatformException {
        platform.faults().outage(true);
        assertThatThrownBy(request(kind)).isInstanceOf(PlatformUnavailableException.class);
        platform.faults().clear();
        assertThat(tookEffect(kind)).isFalse();
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    public void requestsAboveRateLimitAreRejectedUntilQuotaRefills(RequestKind kind)
            throws Throwable {
        platform.faults().rule((k, key) -> Fault.THROTTLED);
        assertThatThrownBy(request(kind)).isInstanceOf(PlatformThrottledException.class);
        platform.faults().clear();
        assertThat(tookEffect(kind)).isFalse();
        platform.faults().limits(1, 1);
        request(kind).call();
        Fault limited = platform.faults().next(kind, "k");
        clock.advance(Duration.ofSeconds(1));
        Fault later = platform.faults().next(kind, "k");
        assertThat(List.of(limited, later)).containsExactly(Fault.THROTTLED, Fault.NONE);
    }

    /** Guards against a write with a lost response that is reported as failed but took effect. */
    @ParameterizedTest
    @CsvSource({
        "COMMIT, LOST_BEFORE_EFFECT, false",
        "COMMIT, LOST_AFTER_EFFECT, true",
        "COMMIT, LOST_AND_DELAYED, false",
        "PUT_OBJECT, LOST_BEFORE_EFFECT, false",
        "PUT_OBJECT, LOST_AFTER_EFFECT, true",
        "PUT_OBJECT, LOST_AND_DELAYED, false"
    })
    public void lostResponseToWriteReportsUnknownOutcome(
            RequestKind kind, Fault fault, boolean tookEffect) throws PlatformException {
        platform.faults().rule((k, key) -> fault);
        assertThatThrownBy(request(kind)).isInstanceOf(PlatformOutcomeUnknownException.class);
        platform.faults().clear();
        assertThat(tookEffect(kind)).isEqualTo(tookEffect);
        platform.deliverDelayed();
        assertThat(tookEffect(kind)).isEqualTo(fault != Fault.LOST_BEFORE_EFFECT);
    }

    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"GET_ROW", "GET_ROW_IF_CHANGED", "SCAN_ROWS", "GET_OBJECT"})
    public void lostResponseToReadReportsUnavailable(RequestKind kind) {
        platform.faults().rule((k, key) -> Fault.LOST_AFTER_EFFECT);
        assertThatThrownBy(request(kind)).isInstanceOf(PlatformUnavailableException.class);
    }

    @Test
    public void delayedRequestsSucceed() throws PlatformException {
        platform.faults().delay(Duration.ofMillis(300));
        tables().commit(put("t1", "a", "one"));
        assertThat(text("a")).isEqualTo("one");
        assertThat(clock.nanos()).isEqualTo(Duration.ofMillis(600).toNanos());
    }

    @Test
    public void requestsBeyondSizeLimitsAreInvalid() {
        byte[] row = new byte[PlatformLimits.MAX_ROW_BYTES + 1];
        byte[] object = new byte[PlatformLimits.MAX_OBJECT_BYTES + 1];
        Transaction.Builder many = Transaction.withToken("t3");
        IntStream.rangeClosed(0, PlatformLimits.MAX_TRANSACTION_PARTS)
                .forEach(i -> many.requireAbsent("k" + i));
        List<ThrowingCallable> requests =
                List.of(
                        () -> tables().get(""),
                        () -> tables().get("a//b"),
                        () -> tables().scan("a", 0),
                        () -> tables().scan("a", PlatformLimits.MAX_SCAN_ROWS + 1),
                        () -> tables().commit(putBytes("t1", "a", row)),
                        () -> tables().commit(many.build()),
                        () -> objects().put("a", object),
                        () -> objects().get("x".repeat(PlatformLimits.MAX_KEY_CHARS + 1)));
        for (ThrowingCallable request : requests) {
            assertThatThrownBy(request).isInstanceOf(PlatformInvalidRequestException.class);
        }
    }

    private ThrowingCallable request(RequestKind kind) {
        return switch (kind) {
            case GET_ROW -> () -> tables().get("k");
            case GET_ROW_IF_CHANGED -> () -> tables().getIfChanged("k", 0);
            case SCAN_ROWS -> () -> tables().scan("k", 1);
            case COMMIT -> () -> tables().commit(put("fault", "k", "v"));
            case GET_OBJECT -> () -> objects().get("k");
            case PUT_OBJECT -> () -> objects().put("k", new byte[1]);
        };
    }

    private boolean tookEffect(RequestKind kind) throws PlatformException {
        return kind == RequestKind.PUT_OBJECT
                ? platform.objects().get("k").isPresent()
                : platform.tables().get("k").isPresent();
    }

    private String text(String key) throws PlatformException {
        return new String(tables().get(key).orElseThrow().value(), UTF_8);
    }

    private static Transaction put(String token, String key, String value) {
        return putBytes(token, key, value.getBytes(UTF_8));
    }

    private static Transaction putBytes(String token, String key, byte[] value) {
        return Transaction.withToken(token).put(key, value).build();
    }
}
