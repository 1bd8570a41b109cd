package dev.zinniaring.kernel;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Strict reader of a JSON object that collects all problems instead of stopping at the first.
 * Unknown fields, wrong types and values out of range are problems.
 *
 * <pre>{@code
 * List<Problem> problems = new ArrayList<>();
 * JsonFields fields = JsonFields.parse(text, "", problems);
 * String mesh = fields.text("mesh");
 * int timeoutMillis = fields.integer("timeoutMillis", 1, 60_000, 2_000);
 * fields.finish();
 * if (!problems.isEmpty()) throw new SettingsException(problems);
 * }</pre>
 *
 * <p>A required field that is missing or invalid yields a placeholder value, so callers must
 * discard the result if there are problems.
 */
public final class JsonFields {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private static final String FILE_SUFFIX = ".json";

    private final JsonNode node;
    private final String path;
    private final List<Problem> problems;
    private final Set<String> known = new HashSet<>();

    private JsonFields(JsonNode node, String path, List<Problem> problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
    }

    /**
     * Parses a JSON object. Text that is not one JSON object is a problem, and reads as an empty
     * object.
     *
     * @param path prefix of the paths in problems, such as a file name; may be empty
     * @param problems list to which problems are added
     */
    public static JsonFields parse(String text, String path, List<Problem> problems) {
        try {
            JsonNode parsed = MAPPER.readTree(text);
            return of(parsed, path, problems);
        } catch (JsonProcessingException e) {
            problems.add(new Problem(path, e.getOriginalMessage(), "one well-formed JSON object"));
            return new JsonFields(JsonNodeFactory.instance.objectNode(), path, problems);
        }
    }

    private static JsonFields of(JsonNode node, String path, List<Problem> problems) {
        if (node.isObject()) {
            return new JsonFields(node, path, problems);
        }
        problems.add(new Problem(path, node.toString(), "a JSON object"));
        return new JsonFields(JsonNodeFactory.instance.objectNode(), path, problems);
    }

    /** Returns the names of all fields, in document order. */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        known.add(name);
        return node.hasNonNull(name);
    }

    /** Returns a required, non-empty string. */
    public String text(String name) {
        JsonNode value = required(name, "a non-empty string");
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            addProblem(name, value.toString(), "a non-empty string");
            return "";
        }
        return value.textValue();
    }

    /** Returns a string, or {@code fallback} if the field is absent. */
    public String text(String name, String fallback) {
        return has(name) ? text(name) : fallback;
    }

    /**
     * Returns an enum constant, which the document spells in lower case with hyphens, or {@code
     * fallback} if the field is absent.
     */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E fallback) {
        if (!has(name)) {
            return fallback;
        }
        String written = text(name);
        List<String> accepted = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String spelling = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (spelling.equals(written)) {
                return constant;
            }
            accepted.add(spelling);
        }
        addProblem(name, written, "one of " + String.join(", ", accepted));
        return fallback;
    }

    /** Returns a boolean, or {@code fallback} if the field is absent. */
    public boolean flag(String name, boolean fallback) {
        if (!has(name)) {
            return fallback;
        }
        JsonNode value = node.get(name);
        if (!value.isBoolean()) {
            addProblem(name, value.toString(), "true or false");
        }
        return value.asBoolean(fallback);
    }

    /** Returns a required integer from {@code min} to {@code max}. */
    public int integer(String name, int min, int max) {
        String accepted = "a whole number from " + min + " to " + max;
        JsonNode value = required(name, accepted);
        if (value == null) {
            return min;
        }
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.intValue() < min
                || value.intValue() > max) {
            addProblem(name, value.toString(), accepted);
            return min;
        }
        return value.intValue();
    }

    /** Returns an integer from {@code min} to {@code max}, or {@code fallback} if absent. */
    public int integer(String name, int min, int max, int fallback) {
        return has(name) ? integer(name, min, max) : fallback;
    }

    /** Returns a number from {@code min} to {@code max}, or {@code fallback} if absent. */
    public double number(String name, double min, double max, double fallback) {
        if (!has(name)) {
            return fallback;
        }
        JsonNode value = node.get(name);
        if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
            addProblem(name, value.toString(), "a number from " + min + " to " + max);
            return fallback;
        }
        return value.doubleValue();
    }

    /** Returns a list of non-empty strings, empty if the field is absent. */
    public List<String> texts(String name) {
        List<String> values = new ArrayList<>();
        if (!has(name)) {
            return values;
        }
        JsonNode list = node.get(name);
        if (!list.isArray()) {
            addProblem(name, list.toString(), "a list of strings");
            return values;
        }
        for (JsonNode value : list) {
            if (value.isTextual() && !value.textValue().isBlank()) {
                values.add(value.textValue());
            } else {
                addProblem(name, value.toString(), "a list of non-empty strings");
            }
        }
        return values;
    }

    /** Returns a required object, whose problems have paths that start with this object's path. */
    public JsonFields object(String name) {
        JsonNode value = required(name, "a JSON object");
        return of(
                value == null ? JsonNodeFactory.instance.objectNode() : value, at(name), problems);
    }

    /** Returns a list of objects, empty if the field is absent. */
    public List<JsonFields> objects(String name) {
        List<JsonFields> values = new ArrayList<>();
        if (!has(name)) {
            return values;
        }
        JsonNode list = node.get(name);
        if (!list.isArray()) {
            addProblem(name, list.toString(), "a list of JSON objects");
            return values;
        }
        for (int i = 0; i < list.size(); i++) {
            values.add(of(list.get(i), at(name) + "[" + i + "]", problems));
        }
        return values;
    }

    /** Adds a problem with a field of this object, for the caller's own checks. */
    public void addProblem(String name, String value, String accepted) {
        problems.add(new Problem(at(name), value, accepted));
    }

    /** Adds a problem for each unknown field, that is, each that was not read before this call. */
    public void reportUnknownFields() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                addProblem(
                        name, "unknown field", "one of " + String.join(", ", new TreeSet<>(known)));
            }
        }
    }

    private @Nullable JsonNode required(String name, String accepted) {
        known.add(name);
        JsonNode value = node.get(name);
        if (value == null || value.isNull()) {
            addProblem(name, "missing", accepted);
            return null;
        }
        return value;
    }

    private String at(String name) {
        if (path.isEmpty()) {
            return name;
        }
        return path + (path.endsWith(FILE_SUFFIX) ? "#" : ".") + name;
    }
}
