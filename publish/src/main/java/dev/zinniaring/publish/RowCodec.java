package dev.zinniaring.publish;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.store.Row;
import java.io.IOException;

/**
 * Encodes and decodes the rows of a mesh, each of which contains one JSON object in UTF-8.
 *
 * <p>The head row {@code mesh/<mesh>/head} and each version row {@code
 * mesh/<mesh>/version/<number>} contain:
 *
 * <pre>{@code
 * {"number": 12,                      version number, from 1
 *  "hash": "9f86d0...",               SHA-256 of the canonical bytes of the tables, 64 hex digits
 *  "author": "ines",                  who published the version
 *  "acceptedAtMillis": 1796356800000, clock of the publisher, milliseconds since the epoch
 *  "token": "0f3a..."}                identifies the publication, 32 hex digits
 * }</pre>
 *
 * <p>A token row {@code mesh/<mesh>/token/<token>} contains {@code {"number": 12}} or {@code
 * {"aborted": true}}; a mark row {@code mesh/<mesh>/mark/<seed>} contains {@code {"mark": 12}}.
 * Unknown fields are ignored, so that older programs can read rows written by newer ones.
 */
final class RowCodec {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private RowCodec() {}

    static byte[] encode(VersionEntry entry) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("number", entry.number());
        node.put("hash", entry.hash());
        node.put("author", entry.author());
        node.put("acceptedAtMillis", entry.acceptedAtMillis());
        node.put("token", entry.token());
        return write(node);
    }

    static VersionEntry decodeEntry(Row row) throws PublishCorruptException {
        JsonNode node = parse(row);
        return new VersionEntry(
                positive(row, node, "number"),
                text(row, node, "hash"),
                text(row, node, "author"),
                node.path("acceptedAtMillis").asLong(),
                text(row, node, "token"));
    }

    static byte[] encodeAccepted(long number) {
        return write(MAPPER.createObjectNode().put("number", number));
    }

    static byte[] encodeAborted() {
        return write(MAPPER.createObjectNode().put("aborted", true));
    }

    static Resolution decodeToken(Row row) throws PublishCorruptException {
        JsonNode node = parse(row);
        return node.path("aborted").asBoolean()
                ? Resolution.ABORTED
                : Resolution.accepted(positive(row, node, "number"));
    }

    static byte[] encodeMark(long mark) {
        return write(MAPPER.createObjectNode().put("mark", mark));
    }

    static long decodeMark(Row row) throws PublishCorruptException {
        return positive(row, parse(row), "mark");
    }

    private static JsonNode parse(Row row) throws PublishCorruptException {
        try {
            return MAPPER.readTree(row.value());
        } catch (IOException e) {
            throw new PublishCorruptException("row " + row.key() + " is not valid JSON", e);
        }
    }

    private static long positive(Row row, JsonNode node, String field)
            throws PublishCorruptException {
        JsonNode value = node.path(field);
        if (!value.canConvertToExactIntegral() || value.asLong() < 1) {
            throw new PublishCorruptException(
                    "field " + field + " of row " + row.key() + " is not an integer of at least 1");
        }
        return value.asLong();
    }

    private static String text(Row row, JsonNode node, String field)
            throws PublishCorruptException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new PublishCorruptException(
                    "field " + field + " of row " + row.key() + " is not a string");
        }
        return value.textValue();
    }

    private static byte[] write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode row", e);
        }
    }
}
