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
 * A fake of the users' row store, with its published protocol and injectable faults. Rows are kept
 * in memory.
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

    /** The fault that the store simulates. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** Responds with 503 and does not execute the request. */
        BUSY,
        /** Responds with 429 and does not execute the request. */
        THROTTLED,
        /** Accepts requests but neither executes nor answers them. */
        SILENT,
        /** Executes write requests but never answers them; reads are served. */
        ANSWERS_LOST,
        /** Never answers writes, and executes them only in {@link #writeHeldBack()}. */
        WRITES_HELD_BACK
    }

    private record Row(String table, String key, String value, long revision, boolean deleted) {}

    private record LongPoll(Exchange exchange, String table, long after) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpListener listener =
            new HttpListener(group, Clock.system(), () -> ClientLimits.DEFAULT, this::handle);
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<LongPoll> longPolls = new ArrayList<>();
    private final List<JsonNode> delayedWrites = new ArrayList<>();
    private Fault fault = Fault.NONE;
    private long revision = 1;
    private long era = 1;
    private long historyStartRevision;
    private long delayMillis;
    private int requests;

    private RowStoreServer() {}

    /**
     * Starts a store on a free port of the loopback interface.
     *
     * @throws KernelException if the store cannot listen
     */
    public static RowStoreServer start() throws KernelException {
        RowStoreServer store = new RowStoreServer();
        store.listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return store;
    }

    /** Returns the address on which the store accepts requests. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets the fault to simulate; {@link Fault#NONE} restores normal operation. */
    public synchronized void fault(Fault next) {
        fault = next;
    }

    /** Sets the delay of each response that carries rows or a version, in milliseconds. */
    public synchronized void delayMillis(long millis) {
        delayMillis = millis;
    }

    /**
     * Drops the change history. A feed request from an earlier revision gets 410 and has to start
     * over with a full read.
     */
    public synchronized void dropHistory() {
        historyStartRevision = revision;
    }

    /** Returns a copy of the rows, for {@link #restore}. */
    public synchronized Copy copy() {
        return new Copy(Map.copyOf(rows), revision);
    }

    /**
     * Restores the store from an older copy: later changes are lost, their revisions are given out
     * again, and the era rises.
     */
    public synchronized void restore(Copy copy) {
        rows.clear();
        rows.putAll(copy.rows);
        revision = copy.revision;
        historyStartRevision = Math.min(historyStartRevision, revision);
        era++;
    }

    /** Rows of the store at one time. */
    public static final class Copy {
        private final Map<String, Row> rows;
        private final long revision;

        private Copy(Map<String, Row> rows, long revision) {
            this.rows = rows;
            this.revision = revision;
        }
    }

    /** Returns the number of requests received so far. */
    public synchronized int calls() {
        return requests;
    }

    /** Writes a row as the operator would, regardless of the current fault. */
    public synchronized void write(String table, String key, String base64) {
        store(table, key, base64, false);
        answerLongPolls();
    }

    /** Executes the delayed writes whose conditions still hold. */
    public synchronized void writeHeldBack() {
        delayedWrites.forEach(this::apply);
        delayedWrites.clear();
        answerLongPolls();
    }

    @Override
    public void close() {
        listener.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private synchronized void handle(Exchange exchange) {
        requests++;
        switch (fault) {
            case BUSY -> exchange.answer(withEra(Answer.of(UNAVAILABLE)));
            case THROTTLED -> exchange.answer(withEra(Answer.of(TOO_MANY_REQUESTS)));
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
            boolean matches =
                    row.table().equals(table) && !row.deleted() && row.key().compareTo(from) >= 0;
            if (matches && list.size() == MAX_ROWS_PER_ANSWER) {
                more = true;
            } else if (matches) {
                list.add(node(row));
            }
        }
        return body.put("has_more", more);
    }

    private void feed(Exchange exchange, QueryStringDecoder query) {
        long after = Long.parseLong(parameter(query, "after"));
        if (after < historyStartRevision || after > revision) {
            exchange.answer(withEra(Answer.of(GONE)));
            return;
        }
        LongPoll poll = new LongPoll(exchange, parameter(query, "table"), after);
        if (changes(poll).isEmpty()) {
            longPolls.add(poll);
            long waitMillis = Long.parseLong(parameter(query, "wait_ms"));
            group.schedule(() -> expire(poll), waitMillis, TimeUnit.MILLISECONDS);
        } else {
            answer(exchange, changed(poll));
        }
    }

    private synchronized void expire(LongPoll poll) {
        if (longPolls.remove(poll)) {
            answer(poll.exchange(), changed(poll));
        }
    }

    private List<Row> changes(LongPoll poll) {
        return rows.values().stream()
                .filter(row -> row.table().equals(poll.table()) && row.revision() > poll.after())
                .sorted((one, other) -> Long.compare(one.revision(), other.revision()))
                .toList();
    }

    private ObjectNode changed(LongPoll poll) {
        ObjectNode body = body();
        ArrayNode list = body.putArray("rows");
        changes(poll).forEach(row -> list.add(node(row)));
        return body;
    }

    private void answerLongPolls() {
        for (LongPoll poll : List.copyOf(longPolls)) {
            if (!changes(poll).isEmpty() && longPolls.remove(poll)) {
                answer(poll.exchange(), changed(poll));
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
            delayedWrites.add(request);
            return;
        }
        ObjectNode conflict = apply(request);
        if (fault == Fault.ANSWERS_LOST) {
            return;
        }
        if (conflict == null) {
            answer(exchange, body());
            answerLongPolls();
        } else {
            exchange.answer(withEra(Answer.json(PRECONDITION_FAILED, text(conflict))));
        }
    }

    /** Applies a transaction; on a conflict returns the current rows of its conditions instead. */
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
        return MAPPER.createObjectNode()
                .put("ver", revision)
                .put("now_ms", Clock.system().nanos() / 1_000_000L);
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
        Answer answer = withEra(Answer.json(OK, text(body)));
        group.schedule(() -> exchange.answer(answer), delayMillis, TimeUnit.MILLISECONDS);
    }

    private Answer withEra(Answer answer) {
        answer.headers().set("Store-Era", era);
        return answer;
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
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
