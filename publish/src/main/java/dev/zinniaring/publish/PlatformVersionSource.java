package dev.zinniaring.publish;

import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformLimits;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Reads the published versions of one mesh from the platform. */
public final class PlatformVersionSource implements VersionSource {
    /**
     * Maximum number of attempts to raise a mark while other writers update the same row; in each
     * round one writer succeeds.
     */
    private static final int MARK_ATTEMPTS = 5;

    private static final Head NO_HEAD = new Head(0, "", "", 0, "", 0);

    private final MeshKeys keys;
    private final TableService tables;
    private final ObjectStore objects;
    private final TokenSource tokens;

    /**
     * Creates a source.
     *
     * @param mesh name of the mesh, in lower-case letters, digits and hyphens
     * @param random source of randomness for the tokens of transactions that store marks
     * @throws IllegalArgumentException if {@code mesh} is not a valid name
     */
    public PlatformVersionSource(
            String mesh, TableService tables, ObjectStore objects, RandomGenerator random) {
        this.keys = new MeshKeys(mesh);
        this.tables = tables;
        this.objects = objects;
        this.tokens = new TokenSource(random);
    }

    @Override
    public Head head() throws PublishException {
        try {
            Optional<Row> row = tables.get(keys.head());
            return row.isEmpty() ? NO_HEAD : head(row.get());
        } catch (PlatformException e) {
            throw Failures.withoutEffect("head cannot be read", e);
        }
    }

    @Override
    public Optional<Head> headIfChanged(long knownRevision) throws PublishException {
        try {
            Optional<Row> row = tables.getIfChanged(keys.head(), knownRevision);
            return row.isEmpty() ? Optional.empty() : Optional.of(head(row.get()));
        } catch (PlatformException e) {
            throw Failures.withoutEffect("head cannot be read", e);
        }
    }

    @Override
    public byte[] body(String hash) throws PublishException {
        byte[] body = storedBody(hash);
        String actual = TablesCodec.hash(body);
        if (!actual.equals(hash)) {
            throw new PublishCorruptException(
                    "tables stored under hash " + hash + " have hash " + actual);
        }
        return body;
    }

    private byte[] storedBody(String hash) throws PublishException {
        try {
            return objects.get(keys.body(hash))
                    .orElseThrow(
                            () ->
                                    new PublishCorruptException(
                                            "tables with hash " + hash + " are missing"));
        } catch (PlatformException e) {
            throw Failures.withoutEffect("tables with hash " + hash + " cannot be read", e);
        }
    }

    @Override
    public Optional<byte[]> delta(String baseHash, String hash) throws PublishException {
        try {
            return objects.get(keys.delta(baseHash, hash));
        } catch (PlatformException e) {
            throw Failures.withoutEffect("delta to hash " + hash + " cannot be read", e);
        }
    }

    /** Returns one entry of the version history, or empty if no such version was accepted. */
    Optional<VersionEntry> entry(long number) throws PublishException {
        try {
            Optional<Row> row = tables.get(keys.version(number));
            return row.isEmpty() ? Optional.empty() : Optional.of(RowCodec.decodeEntry(row.get()));
        } catch (PlatformException e) {
            throw Failures.withoutEffect("version " + number + " cannot be read", e);
        }
    }

    @Override
    public Map<String, Long> marks() throws PublishException {
        Map<String, Long> marks = new TreeMap<>();
        try {
            for (Row row : tables.scan(keys.marks(), PlatformLimits.MAX_SCAN_ROWS)) {
                marks.put(row.key().substring(keys.marks().length()), RowCodec.decodeMark(row));
            }
        } catch (PlatformException e) {
            throw Failures.withoutEffect("marks cannot be read", e);
        }
        return marks;
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException if {@code mark} is below 1
     */
    @Override
    public void putMark(String seed, long mark) throws PublishException {
        if (mark < 1) {
            throw new IllegalArgumentException("mark must be at least 1, was " + mark);
        }
        try {
            for (int attempt = 1; attempt <= MARK_ATTEMPTS; attempt++) {
                if (raiseMark(keys.mark(seed), mark)) {
                    return;
                }
            }
        } catch (PlatformException e) {
            // An unknown outcome is harmless: marks only increase, and the caller retries.
            throw Failures.withoutEffect("mark of seed " + seed + " cannot be written", e);
        }
        throw new PublishUnavailableException(
                "mark of seed "
                        + seed
                        + " cannot be written: "
                        + MARK_ATTEMPTS
                        + " conflicting updates");
    }

    private boolean raiseMark(String key, long mark)
            throws PlatformException, PublishCorruptException {
        Optional<Row> present = tables.get(key);
        if (present.isPresent() && RowCodec.decodeMark(present.get()) >= mark) {
            return true;
        }
        long revision = present.map(Row::revision).orElse(Transaction.ABSENT);
        return tables.commit(
                Transaction.withToken(tokens.next())
                        .requireRevision(key, revision)
                        .put(key, RowCodec.encodeMark(mark))
                        .build());
    }

    private static Head head(Row row) throws PublishCorruptException {
        VersionEntry entry = RowCodec.decodeEntry(row);
        return new Head(
                entry.number(),
                entry.hash(),
                entry.author(),
                entry.acceptedAtMillis(),
                entry.token(),
                row.revision());
    }
}
