package dev.zinniaring.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/** Where a command writes: its result to one stream, progress and errors to another. */
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

    /** Writes the result, as text or as one line of JSON. */
    void result(String text, JsonNode document) {
        if (json) {
            out.println(document);
        } else if (!text.isEmpty()) {
            out.println(text);
        }
    }

    /** Writes a line that tells how far a long command is. */
    void progress(String line) {
        err.println(json ? object().put("progress", line).toString() : line);
    }

    /** Writes why the command failed. */
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
            throw new IllegalStateException("a JSON tree could not be written", e);
        }
    }
}
