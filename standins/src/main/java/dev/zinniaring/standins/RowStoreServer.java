package dev.zinniaring.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HttpListener;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Stands in for the users' store of rows, by its published protocol, with faults that can be
 * switched on. Rows are kept in memory.
 *
 * <pre>{@code
 * RowStoreServer store = RowStoreServer.start();
 * store.fault(RowStoreServer.Fault.BUSY);
 * }</pre>
 */
public final class RowStoreServer implements AutoCloseable {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int MAX_ROWS_PER_ANSWER = 500;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** What the store does wrong. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** It answers 503 and does nothing. */
        BUSY,
        /** It answers 429 and does nothing. */
        THROTTLED,
        /** It takes calls and never answers, and does nothing. */
        SILENT,
        /** It does what it is asked and never answers. */
        ANSWERS_LOST,
        /** It never answers a write, and does it later, when {@link #writeHeldBack()} is called. */
        WRITES_HELD_BACK
    }

    private record Row(String table, String key, String value, long revision, boolean deleted) {}

    private record Watch(Exchange exchange, String table, long after) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpListener listener =
            new HttpListener(group, Clock.system(), () -> ClientLimits.DEFAULT, this::handle);
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<JsonNode> heldBack = new ArrayList<>();
    private Fault fault = Fault.NONE;
    private long revision = 1;
    private long historyFrom;
    private long delayMillis;
    private int calls;

    private RowStoreServer() {}

    /**
     * Starts a store on a free port of the loopback interface.
     *
     * @throws KernelException if there is none
     */
    public static RowStoreServer start() throws KernelException {
        RowStoreServer store = new RowStoreServer();
        store.listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return store;
    }

    /** Returns where the store takes calls. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Switches a fault on, or all off with {@link Fault#NONE}. */
    public synchronized void fault(Fault next) {
        fault = next;
    }

    /** Sets the time that each answer takes. */
    public synchronized void delayMillis(long millis) {
        delayMillis = millis;
    }

    /** Drops the history, so that feeds have to be started over. */
    public synchronized void dropHistory() {
        historyFrom = revision;
    }

    /** Returns the number of calls so far. */
    public synchronized int calls() {
        return calls;
    }

    /** Writes a row as the operator does, past all faults. */
    public synchronized void write(String table, String key, String base64) {
        store(table, key, base64, false);
        answerWatches();
    }

    /** Does the writes that were held back, if their conditions still hold. */
    public synchronized void writeHeldBack() {
        heldBack.forEach(this::apply);
        heldBack.clear();
        answerWatches();
    }

    @Override
    public void close() {
        listener.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private synchronized void handle(Exchange exchange) {
        calls++;
        switch (fault) {
            case BUSY -> exchange.answer(Answer.of(UNAVAILABLE));
            case THROTTLED -> exchange.answer(Answer.of(TOO_MANY_REQUESTS));
            case SILENT -> exchange.onCancel(() -> {});
            default -> serve(exchange);
        }
    }

    private void serve(Exchange exchange) {
        QueryStringDecoder query = new QueryStringDecoder(exchange.target());
        switch (query.path()) {
            case "/zinniaring/rows-get" -> answer(exchange, list(query));
            case "/zinniaring/rows-feed" -> feed(exchange, query);
            case "/zinniaring/rows-tx" -> transact(exchange);
            default -> exchange.answer(Answer.of(NOT_FOUND));
        }
    }

    private static String parameter(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    private ObjectNode list(QueryStringDecoder query) {
        String table = parameter(query, "table");
        String from = parameter(query, "from");
        ObjectNode body = body();
        ArrayNode list = body.putArray("rows");
        boolean more = false;
        for (Row row : rows.values()) {
            boolean wanted =
                    row.table().equals(table) && !row.deleted() && row.key().compareTo(from) >= 0;
            if (wanted && list.size() == MAX_ROWS_PER_ANSWER) {
                more = true;
            } else if (wanted) {
                list.add(node(row));
            }
        }
        return body.put("has_more", more);
    }

    private void feed(Exchange exchange, QueryStringDecoder query) {
        long after = Long.parseLong(parameter(query, "after"));
        if (after < historyFrom) {
            exchange.answer(Answer.of(GONE));
            return;
        }
        Watch watch = new Watch(exchange, parameter(query, "table"), after);
        if (changes(watch).isEmpty()) {
            watches.add(watch);
            long waitMillis = Long.parseLong(parameter(query, "wait_ms"));
            group.schedule(() -> expire(watch), waitMillis, TimeUnit.MILLISECONDS);
        } else {
            answer(exchange, changed(watch));
        }
    }

    private synchronized void expire(Watch watch) {
        if (watches.remove(watch)) {
            answer(watch.exchange(), changed(watch));
        }
    }

    private List<Row> changes(Watch watch) {
        return rows.values().stream()
                .filter(row -> row.table().equals(watch.table()) && row.revision() > watch.after())
                .sorted((one, other) -> Long.compare(one.revision(), other.revision()))
                .toList();
    }

    private ObjectNode changed(Watch watch) {
        ObjectNode body = body();
        ArrayNode list = body.putArray("rows");
        changes(watch).forEach(row -> list.add(node(row)));
        return body;
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (!changes(watch).isEmpty() && watches.remove(watch)) {
                answer(watch.exchange(), changed(watch));
            }
        }
    }

    private void transact(Exchange exchange) {
        JsonNode request = read(exchange.body());
        if (request == null) {
            exchange.answer(Answer.of(BAD_REQUEST));
            return;
        }
        if (fault == Fault.WRITES_HELD_BACK) {
            heldBack.add(request);
            return;
        }
        ObjectNode conflict = apply(request);
        if (fault == Fault.ANSWERS_LOST) {
            return;
        }
        if (conflict == null) {
            answer(exchange, body());
            answerWatches();
        } else {
            exchange.answer(Answer.json(PRECONDITION_FAILED, text(conflict)));
        }
    }

    /** Applies a transaction, or returns the rows that did not meet its conditions. */
    private @Nullable ObjectNode apply(JsonNode request) {
        ObjectNode conflict = body();
        ArrayNode found = conflict.putArray("rows");
        boolean holds = true;
        for (JsonNode expected : request.path("expect")) {
            Row row = rows.get(name(expected));
            long has = 0;
            if (row != null && !row.deleted()) {
                has = row.revision();
                found.add(node(row));
            }
            holds &= has == expected.path("ver").asLong(-1);
        }
        if (!holds) {
            return conflict;
        }
        request.path("set_keys")
                .forEach(
                        row ->
                                store(
                                        text(row, "table"),
                                        text(row, "key"),
                                        text(row, "value"),
                                        false));
        request.path("delete_keys")
                .forEach(row -> store(text(row, "table"), text(row, "key"), "", true));
        return null;
    }

    private void store(String table, String key, String value, boolean deleted) {
        revision++;
        rows.put(table + "/" + key, new Row(table, key, value, revision, deleted));
    }

    private static String name(JsonNode row) {
        return text(row, "table") + "/" + text(row, "key");
    }

    private static String text(JsonNode node, String field) {
        return node.path(field).asText("");
    }

    private ObjectNode body() {
        return MAPPER.createObjectNode().put("ver", revision).put("now_ms", 1);
    }

    private static ObjectNode node(Row row) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("table", row.table())
                        .put("part", "")
                        .put("key", row.key())
                        .put("ver", row.revision());
        return row.deleted() ? node.put("deleted", true) : node.put("value", row.value());
    }

    private void answer(Exchange exchange, ObjectNode body) {
        Answer answer = Answer.json(OK, text(body));
        group.schedule(() -> exchange.answer(answer), delayMillis, TimeUnit.MILLISECONDS);
    }

    private static @Nullable JsonNode read(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            return null;
        }
    }

    private static String text(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values could not be written", e);
        }
    }
}
