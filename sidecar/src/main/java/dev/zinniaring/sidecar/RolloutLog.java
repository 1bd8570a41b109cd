package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.rollout.RolloutBoard;
import dev.zinniaring.rollout.RolloutOrder;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.store.FutureFailures;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders and states of roll-outs in the store. Every node that watches the store knows the orders;
 * the leader reads the states once and writes each change on condition that the row is as it knows
 * it. Used on the event loop only.
 */
final class RolloutLog {
    private static final Logger log = LoggerFactory.getLogger("rollout");

    private final RowStore store;
    private final RolloutDocuments documents;
    private final Scheduler scheduler;
    private final Map<String, RowPage.TableRow> orders = new HashMap<>();
    private final Map<String, RowPage.TableRow> states = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private @Nullable RolloutBoard board;
    private boolean statesKnown;
    private boolean reading;

    RolloutLog(RowStore store, RolloutDocuments documents, Scheduler scheduler) {
        this.store = store;
        this.documents = documents;
        this.scheduler = scheduler;
    }

    /** Handles a listing of the whole table: orders that are not in it have been withdrawn. */
    void listed(Collection<RowPage.TableRow> rows) {
        for (String service : Set.copyOf(orders.keySet())) {
            boolean ordered =
                    rows.stream()
                            .map(row -> documents.orderedService(row.key()))
                            .anyMatch(service::equals);
            if (!ordered) {
                withdraw(service);
            }
        }
    }

    private void withdraw(String service) {
        orders.remove(service);
        RolloutBoard decided = board;
        if (decided != null) {
            decided.withdraw(service);
        }
    }

    /** Handles a row of the table with the orders. */
    void orderChanged(RowPage.TableRow row) {
        String service = documents.orderedService(row.key());
        if (service == null) {
            return;
        }
        if (row.deleted()) {
            withdraw(service);
            return;
        }
        orders.put(service, row);
        RolloutBoard decided = board;
        if (decided != null && statesKnown) {
            order(decided, service, row);
        }
    }

    /** Returns whether there are orders. */
    boolean hasOrders() {
        return !orders.isEmpty();
    }

    /** Starts to keep a board; its orders follow once the states are known. */
    void lead(RolloutBoard newBoard) {
        board = newBoard;
        statesKnown = false;
    }

    /** Stops keeping a board. */
    void stopLeading() {
        board = null;
        statesKnown = false;
    }

    /** Writes the states that the store does not have; to be called some times a second. */
    void tick() {
        RolloutBoard decided = board;
        if (decided == null || orders.isEmpty()) {
            return;
        }
        if (!statesKnown) {
            readStates(decided);
            return;
        }
        decided.unrecorded().forEach(change -> write(decided, change));
    }

    private void readStates(RolloutBoard decided) {
        if (reading) {
            return;
        }
        reading = true;
        store.list(documents.statusTable())
                .whenComplete(
                        (page, failure) ->
                                scheduler.execute(
                                        () -> {
                                            reading = false;
                                            if (page != null && board == decided) {
                                                onStates(decided, page);
                                            }
                                        }));
    }

    private void onStates(RolloutBoard decided, RowPage page) {
        states.clear();
        page.rows().forEach(row -> states.put(row.key(), row));
        statesKnown = true;
        Map.copyOf(orders).forEach((service, row) -> order(decided, service, row));
    }

    private void order(RolloutBoard decided, String service, RowPage.TableRow row) {
        RolloutOrder order = documents.order(row.value());
        if (order == null || !order.service().equals(service)) {
            log.warn("rejected malformed order service={}", service);
            return;
        }
        RowPage.TableRow state = states.get(documents.statusKey(service));
        RolloutState recorded =
                state != null && state.revision() > row.revision()
                        ? documents.state(state.value(), order.target())
                        : null;
        log.info(
                "ordered service={} target={} within_ms={} recorded={}",
                service,
                order.target(),
                order.duration().toMillis(),
                recorded);
        decided.order(order, row.revision(), recorded);
    }

    private void write(RolloutBoard decided, RolloutBoard.StateChange change) {
        String key = documents.statusKey(change.order().service());
        if (!writing.add(key)) {
            return;
        }
        RowPage.TableRow known = states.get(key);
        byte[] value = documents.status(change.order(), change.state());
        store.put(
                        documents.statusTable(),
                        key,
                        value,
                        known == null ? RowStore.ABSENT : known.revision())
                .whenComplete(
                        (revision, failure) ->
                                scheduler.execute(
                                        () ->
                                                onWritten(
                                                        decided, change, value, revision,
                                                        failure)));
    }

    private void onWritten(
            RolloutBoard decided,
            RolloutBoard.StateChange change,
            byte[] value,
            @Nullable Long revision,
            @Nullable Throwable failure) {
        String key = documents.statusKey(change.order().service());
        writing.remove(key);
        if (revision == null) {
            log.info(
                    "failed to record state, reading it again key={} cause=\"{}\"",
                    key,
                    String.valueOf(FutureFailures.unwrap(failure)));
            rereadRevision(key);
            return;
        }
        states.put(key, new RowPage.TableRow(key, revision, value, false));
        decided.recorded(change);
        log.info(
                "recorded service={} target={} state={} because=\"{}\"",
                change.order().service(),
                change.order().target(),
                change.state(),
                change.explanation());
    }

    /** Finds out the revision of a row whose write failed or was not answered. */
    private void rereadRevision(String key) {
        writing.add(key);
        store.list(documents.statusTable())
                .whenComplete(
                        (page, failure) ->
                                scheduler.execute(
                                        () -> {
                                            writing.remove(key);
                                            if (page != null) {
                                                states.remove(key);
                                                page.rows()
                                                        .forEach(row -> states.put(row.key(), row));
                                            }
                                        }));
    }
}
