package dev.zinniaring.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The differences between two states of the tables, as text for operators and as JSON.
 *
 * <pre>{@code
 * TablesDiff diff = TablesDiff.between(before, after);
 * System.out.println(diff); // ~ rank history: worth 1 -> 2
 * }</pre>
 *
 * @param changes the entries that differ, in order of table and name
 */
public record TablesDiff(List<Change> changes) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final List<String> TABLES = List.of("ranks", "pools", "routes");

    /** Makes a defensive copy of the list. */
    public TablesDiff {
        changes = List.copyOf(changes);
    }

    /** How an entry changed. */
    public enum Action {
        /** The entry was added. */
        ADDED('+'),
        /** The entry was removed. */
        REMOVED('-'),
        /** At least one field of the entry changed. */
        CHANGED('~');

        private final char sign;

        Action(char sign) {
            this.sign = sign;
        }
    }

    /**
     * An entry that differs.
     *
     * @param action how the entry changed
     * @param table {@code rank}, {@code pool} or {@code route}
     * @param name the entry's name
     * @param fields the fields that differ; all fields if the entry was added or removed
     */
    public record Change(Action action, String table, String name, List<FieldChange> fields) {
        /** Makes a defensive copy of the list. */
        public Change {
            fields = List.copyOf(fields);
        }

        @Override
        public String toString() {
            String head = action.sign + " " + table + " " + name;
            return action == Action.REMOVED
                    ? head
                    : head
                            + fields.stream()
                                    .map(FieldChange::toString)
                                    .collect(Collectors.joining(", ", ": ", ""));
        }
    }

    /**
     * A field that differs, with its values as JSON text.
     *
     * @param field name of the field
     * @param before value before, null if the entry was added
     * @param after value after, null if the entry was removed
     */
    public record FieldChange(String field, @Nullable String before, @Nullable String after) {
        @Override
        public String toString() {
            return before == null || after == null
                    ? field + " " + (before == null ? after : before)
                    : field + " " + before + " -> " + after;
        }
    }

    /** Returns the changes from {@code before} to {@code after}. */
    public static TablesDiff between(Tables before, Tables after) {
        JsonNode from = document(before);
        JsonNode to = document(after);
        List<Change> changes = new ArrayList<>();
        for (String table : TABLES) {
            compare(table, byName(from.path(table)), byName(to.path(table)), changes);
        }
        return new TablesDiff(changes);
    }

    /** Returns whether there are no changes. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Returns one line for each changed entry. */
    @Override
    public String toString() {
        return changes.stream().map(Change::toString).collect(Collectors.joining("\n"));
    }

    /**
     * Returns the changes as JSON: a list of {@code {"action", "table", "name", "fields":
     * [{"field", "before", "after"}]}}, where {@code before} is omitted for an added entry and
     * {@code after} for a removed one.
     */
    public JsonNode toJson() {
        ArrayNode list = MAPPER.createArrayNode();
        for (Change change : changes) {
            ObjectNode node = list.addObject();
            node.put("action", change.action().name().toLowerCase(Locale.ROOT));
            node.put("table", change.table());
            node.put("name", change.name());
            ArrayNode fields = node.putArray("fields");
            change.fields().forEach(field -> fields.add(json(field)));
        }
        return list;
    }

    private static ObjectNode json(FieldChange change) {
        ObjectNode node = MAPPER.createObjectNode().put("field", change.field());
        if (change.before() != null) {
            node.set("before", parse(change.before()));
        }
        if (change.after() != null) {
            node.set("after", parse(change.after()));
        }
        return node;
    }

    private static void compare(
            String table,
            TreeMap<String, JsonNode> before,
            TreeMap<String, JsonNode> after,
            List<Change> changes) {
        String singular = table.substring(0, table.length() - 1);
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            JsonNode old = before.get(name);
            JsonNode now = after.get(name);
            List<FieldChange> fields = fields(old, now);
            if (!fields.isEmpty()) {
                changes.add(new Change(action(old, now), singular, name, fields));
            }
        }
    }

    private static Action action(@Nullable JsonNode before, @Nullable JsonNode after) {
        if (before == null) {
            return Action.ADDED;
        }
        return after == null ? Action.REMOVED : Action.CHANGED;
    }

    private static List<FieldChange> fields(@Nullable JsonNode before, @Nullable JsonNode after) {
        List<FieldChange> changes = new ArrayList<>();
        JsonNode either = before == null ? after : before;
        if (either == null) {
            return changes;
        }
        for (Iterator<String> names = either.fieldNames(); names.hasNext(); ) {
            String field = names.next();
            String old = before == null ? null : before.path(field).toString();
            String now = after == null ? null : after.path(field).toString();
            if (!field.equals("name") && !Objects.equals(old, now)) {
                changes.add(new FieldChange(field, old, now));
            }
        }
        return changes;
    }

    private static TreeMap<String, JsonNode> byName(JsonNode entries) {
        TreeMap<String, JsonNode> map = new TreeMap<>();
        entries.forEach(entry -> map.put(entry.path("name").asText(), entry));
        return map;
    }

    private static JsonNode document(Tables tables) {
        try {
            return MAPPER.readTree(TablesCodec.encode(tables));
        } catch (IOException e) {
            throw new IllegalStateException("canonical encoding is not valid JSON", e);
        }
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new IllegalStateException("field value is not valid JSON", e);
        }
    }
}
