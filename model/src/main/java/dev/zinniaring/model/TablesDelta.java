package dev.zinniaring.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Encodes the difference between two states of the tables. The encoding is small when few entries
 * differ.
 *
 * <pre>{@code
 * byte[] delta = TablesDelta.between(base, target);
 * byte[] body = TablesDelta.apply(base, delta, hashOfTarget); // equals encode(target)
 * }</pre>
 *
 * <p>A delta consists of two lines of JSON: the names of the removed entries by list, and the
 * entries that were added or changed.
 */
public final class TablesDelta {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private TablesDelta() {}

    /** Returns the delta from {@code base} to {@code target}. */
    public static byte[] between(Tables base, Tables target) {
        ObjectNode dropped = MAPPER.createObjectNode();
        addDropped(dropped, "pools", base.pools(), target.pools());
        addDropped(dropped, "ranks", base.ranks(), target.ranks());
        addDropped(dropped, "routes", base.routes(), target.routes());
        Tables changed =
                new Tables(
                        changed(base.ranks(), target.ranks()),
                        changed(base.routes(), target.routes()),
                        changed(base.pools(), target.pools()));
        try {
            String first = MAPPER.writeValueAsString(dropped);
            String second = new String(TablesCodec.encode(changed), StandardCharsets.UTF_8);
            return (first + "\n" + second).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("names could not be serialized", e);
        }
    }

    /**
     * Applies a delta to {@code base} and returns the canonical encoding of the result.
     *
     * @param expectedHash hash of the canonical encoding of the target
     * @throws InvalidTablesException if the delta is malformed or its result has another hash
     */
    public static byte[] apply(Tables base, byte[] delta, String expectedHash)
            throws InvalidTablesException {
        List<Problem> problems = new ArrayList<>();
        Tables target = read(base, new String(delta, StandardCharsets.UTF_8), problems);
        if (!problems.isEmpty()) {
            throw new InvalidTablesException(problems);
        }
        byte[] body = TablesCodec.encode(target);
        String hash = TablesCodec.hash(body);
        if (!hash.equals(expectedHash)) {
            throw new InvalidTablesException(
                    List.of(new Problem("delta", "result " + hash, "result " + expectedHash)));
        }
        return body;
    }

    private static Tables read(Tables base, String text, List<Problem> problems) {
        int lineEnd = text.indexOf('\n');
        if (lineEnd < 0) {
            problems.add(new Problem("delta", text, "two lines of JSON"));
            return base;
        }
        JsonFields dropped = JsonFields.parse(text.substring(0, lineEnd), "dropped", problems);
        TablesReader reader = new TablesReader(problems);
        reader.read(text.substring(lineEnd + 1), "changed");
        Tables changed = reader.finish();
        Tables target =
                new Tables(
                        merged(base.ranks(), dropped.texts("ranks"), changed.ranks()),
                        merged(base.routes(), dropped.texts("routes"), changed.routes()),
                        merged(base.pools(), dropped.texts("pools"), changed.pools()));
        dropped.reportUnknownFields();
        return target;
    }

    private static <T> void addDropped(
            ObjectNode node, String list, Map<String, T> base, Map<String, T> target) {
        List<String> names = base.keySet().stream().filter(n -> !target.containsKey(n)).toList();
        if (!names.isEmpty()) {
            node.set(list, MAPPER.valueToTree(names));
        }
    }

    private static <T> SortedMap<String, T> changed(
            Map<String, T> base, SortedMap<String, T> target) {
        SortedMap<String, T> changed = new TreeMap<>(target);
        changed.entrySet().removeIf(entry -> entry.getValue().equals(base.get(entry.getKey())));
        return changed;
    }

    private static <T> SortedMap<String, T> merged(
            Map<String, T> base, List<String> dropped, Map<String, T> changed) {
        SortedMap<String, T> merged = new TreeMap<>(base);
        dropped.forEach(merged::remove);
        merged.putAll(changed);
        return merged;
    }
}
