package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.HistoryLostException;
import dev.zinniaring.store.PlatformOutcomeUnknownException;
import dev.zinniaring.store.PlatformUnavailableException;
import dev.zinniaring.store.RowConflictException;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/** An in-memory store of one table; feed requests stay pending until a test completes them. */
final class FakeRowStore implements RowStore {
    private final Map<String, RowPage.TableRow> rows = new TreeMap<>();
    final List<CompletableFuture<RowPage>> pendingFeeds = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    long revision = 1;
    @Nullable Clock clock;
    LongConsumer eraListener = era -> {};
    boolean down;
    boolean loseNextResponse;
    boolean holdNextResponse;
    final List<CompletableFuture<Long>> heldResponses = new ArrayList<>();
    boolean dropHistory;

    @Override
    public void onEra(LongConsumer action) {
        eraListener = action;
    }

    @Override
    public CompletableFuture<RowPage> list(String table) {
        calls.add("list");
        if (down) {
            return CompletableFuture.failedFuture(new PlatformUnavailableException("down"));
        }
        long nowMillis = clock == null ? RowPage.UNKNOWN_TIME : clock.nanos() / 1_000_000L;
        return CompletableFuture.completedFuture(
                new RowPage(List.copyOf(rows.values()), revision, nowMillis));
    }

    @Override
    public CompletableFuture<RowPage> feed(String table, long afterRevision, Duration wait) {
        calls.add("feed " + afterRevision);
        if (down) {
            return CompletableFuture.failedFuture(new PlatformUnavailableException("down"));
        }
        if (dropHistory) {
            dropHistory = false;
            return CompletableFuture.failedFuture(new HistoryLostException("410"));
        }
        CompletableFuture<RowPage> answer = new CompletableFuture<>();
        pendingFeeds.add(answer);
        return answer;
    }

    @Override
    public CompletableFuture<Long> put(
            String table, String key, byte[] value, long expectedRevision) {
        calls.add("put " + expectedRevision);
        if (down) {
            return CompletableFuture.failedFuture(new PlatformUnavailableException("down"));
        }
        long currentRevision = rows.containsKey(key) ? rows.get(key).revision() : ABSENT;
        if (currentRevision != expectedRevision) {
            return CompletableFuture.failedFuture(new RowConflictException("412", currentRevision));
        }
        revision++;
        rows.put(key, new RowPage.TableRow(key, revision, value, false));
        if (holdNextResponse) {
            holdNextResponse = false;
            CompletableFuture<Long> held = new CompletableFuture<>();
            heldResponses.add(held);
            return held;
        }
        if (loseNextResponse) {
            loseNextResponse = false;
            return CompletableFuture.failedFuture(new PlatformOutcomeUnknownException("lost"));
        }
        return CompletableFuture.completedFuture(revision);
    }

    @Override
    public CompletableFuture<Void> delete(String table, String key, long expectedRevision) {
        calls.add("delete " + expectedRevision);
        rows.remove(key);
        return CompletableFuture.completedFuture(null);
    }

    /** Restores the store from an older copy without rows. */
    void loseRows() {
        rows.clear();
        revision = 1;
    }

    boolean contains(String key) {
        return rows.containsKey(key);
    }

    byte[] value(String key) {
        return rows.get(key).value();
    }
}
