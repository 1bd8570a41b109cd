package dev.zinniaring.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/** Writes results to the output stream, and progress and errors to the error stream. */
final class Console {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    Console(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Writes the result, as text or as a single line of JSON. */
    void result(String text, JsonNode document) {
        if (json) {
            out.println(document);
        } else if (!text.isEmpty()) {
            out.println(text);
        }
    }

    /** Writes a progress message to the error stream. */
    void progress(String line) {
        err.println(json ? object().put("progress", line).toString() : line);
    }

    /**
     * Writes an error message to the error stream.
     *
     * @param details further JSON fields of the error; modified by this method
     */
    void error(ExitStatus status, String message, ObjectNode details) {
        if (json) {
            details.put("error", message);
            details.put("status", status.code());
            err.println(details);
        } else {
            err.println("error: " + message);
        }
    }

    static String pretty(JsonNode document) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be serialized", e);
        }
    }
}
