package dev.zinniaring.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.kernel.Problem;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Reads and writes tables as canonical JSON: equal tables have equal bytes, so that a hash of the
 * bytes identifies them.
 *
 * <pre>{@code
 * Tables tables = TablesCodec.readDirectory(Path.of("tables"));
 * byte[] body = TablesCodec.encode(tables);
 * String hash = TablesCodec.hash(body);
 * }</pre>
 */
public final class TablesCodec {
    /** Maximum size of a body that {@link #decode} accepts, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    private TablesCodec() {}

    /** Returns the canonical encoding: UTF-8 JSON, sorted by name, without white space. */
    public static byte[] encode(Tables tables) {
        ObjectNode document = MAPPER.createObjectNode();
        ArrayNode pools = document.putArray("pools");
        tables.pools().values().forEach(pool -> pools.add(encodePool(pool)));
        ArrayNode ranks = document.putArray("ranks");
        tables.ranks().values().forEach(rank -> ranks.add(MAPPER.valueToTree(rank)));
        ArrayNode routes = document.putArray("routes");
        tables.routes().values().forEach(route -> routes.add(MAPPER.valueToTree(route)));
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("tables could not be serialized", e);
        }
    }

    private static ObjectNode encodePool(Pool pool) {
        ObjectNode node = MAPPER.valueToTree(pool);
        node.put("policy", pool.policy().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        return node;
    }

    /**
     * Parses and validates tables, either in canonical encoding or in any other JSON document with
     * the lists {@code ranks}, {@code routes} and {@code pools}.
     *
     * @throws InvalidTablesException with every problem found if the tables are not valid
     */
    public static Tables decode(byte[] body) throws InvalidTablesException {
        if (body.length > MAX_BODY_BYTES) {
            throw new InvalidTablesException(
                    List.of(
                            new Problem(
                                    "",
                                    body.length + " bytes",
                                    "at most " + MAX_BODY_BYTES + " bytes")));
        }
        List<Problem> problems = new ArrayList<>();
        TablesReader reader = new TablesReader(problems);
        reader.read(new String(body, StandardCharsets.UTF_8), "");
        return finish(reader, problems);
    }

    /**
     * Parses every {@code .json} file below a directory, in the order of their paths, and validates
     * their combined content.
     *
     * @throws InvalidTablesException with every problem found in any file
     * @throws IOException if a file cannot be read
     */
    public static Tables readDirectory(Path directory) throws InvalidTablesException, IOException {
        List<Problem> problems = new ArrayList<>();
        TablesReader reader = new TablesReader(problems);
        for (Path file : jsonFiles(directory)) {
            reader.read(Files.readString(file), directory.relativize(file).toString());
        }
        return finish(reader, problems);
    }

    private static List<Path> jsonFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(file -> file.toString().endsWith(".json")).sorted().toList();
        }
    }

    private static Tables finish(TablesReader reader, List<Problem> problems)
            throws InvalidTablesException {
        Tables tables = reader.finish();
        if (problems.isEmpty()) {
            TablesValidator.validate(tables, problems);
        }
        if (!problems.isEmpty()) {
            throw new InvalidTablesException(problems);
        }
        return tables;
    }

    /** Returns the SHA-256 hash of a body as 64 lower-case hexadecimal digits. */
    public static String hash(byte[] body) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(body);
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
