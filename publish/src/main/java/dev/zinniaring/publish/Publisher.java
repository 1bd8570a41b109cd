package dev.zinniaring.publish;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformOutcomeUnknownException;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Publishes changes to the tables of a mesh. Each accepted change gets the next version number; of
 * several changes that compete for a number, one wins. Thread-safe.
 *
 * <pre>{@code
 * Publisher publisher = Publisher.builder("pt-centro", tables, objects).author("ines").build();
 * VersionEntry accepted = publisher.publish(TablesCodec.readDirectory(Path.of("tables")));
 * }</pre>
 *
 * <p>All methods throw {@link PublishUnavailableException} if the platform is unavailable, {@link
 * PublishCorruptException} if data on the platform cannot be decoded or does not match its hash,
 * and {@link PublishRefusedException} if the request cannot be carried out in its present form. In
 * all three cases nothing was changed.
 */
public final class Publisher {
    /**
     * Largest number of versions that a restore of the platform is taken to have lost; a node that
     * claims to be further ahead is ignored.
     */
    private static final long MAX_LOST_VERSIONS = 10_000;

    private final MeshKeys keys;
    private final TableService tables;
    private final ObjectStore objects;
    private final Clock clock;
    private final String author;
    private final TokenSource tokens;
    private final TokenRows tokenRows;
    private final DeltaWriter deltas;
    private final PlatformVersionSource source;
    private final Consumer<String> beforeCommit;
    private final LongSupplier highestHeld;

    private Publisher(Builder builder) {
        this.keys = new MeshKeys(builder.mesh);
        this.tables = builder.tables;
        this.objects = builder.objects;
        this.clock = builder.clock;
        this.author = builder.author;
        this.beforeCommit = builder.beforeCommit;
        this.highestHeld = builder.highestHeld;
        this.tokens = new TokenSource(builder.random);
        this.tokenRows = new TokenRows(keys, tables, tokens);
        this.source = new PlatformVersionSource(builder.mesh, tables, objects, builder.random);
        this.deltas = new DeltaWriter(keys, objects, source);
    }

    /** Returns a builder for the publisher of one mesh. */
    public static Builder builder(String mesh, TableService tables, ObjectStore objects) {
        return new Builder(mesh, tables, objects);
    }

    /**
     * Publishes tables as the successor of the latest version.
     *
     * @throws PublishConflictException if another change was accepted in the meantime
     * @throws PublishOutcomeUnknownException if the answer of the platform was lost and the outcome
     *     could not be determined
     */
    public VersionEntry publish(Tables content) throws PublishException {
        return publish(content, source.head());
    }

    /**
     * Publishes tables as the successor of version {@code expectedVersion}, which is 0 for the
     * first version.
     *
     * @throws PublishConflictException if another version is the latest
     * @throws PublishOutcomeUnknownException if the answer of the platform was lost and the outcome
     *     could not be determined
     */
    public VersionEntry publish(Tables content, long expectedVersion) throws PublishException {
        return publish(content, expectedHead(expectedVersion));
    }

    private Head expectedHead(long expectedVersion) throws PublishException {
        Head head = source.head();
        if (head.number() != expectedVersion) {
            throw new PublishConflictException(expectedVersion, head.number());
        }
        return head;
    }

    private VersionEntry publish(Tables content, Head base) throws PublishException {
        byte[] body = TablesCodec.encode(content);
        check(body);
        String hash = TablesCodec.hash(body);
        putBody(hash, body);
        deltas.write(base, hash, content);
        return commit(base, hash);
    }

    /** Rejects tables that nodes would reject, before anything is written. */
    private static Tables check(byte[] body) throws PublishRefusedException {
        try {
            return TablesCodec.decode(body);
        } catch (InvalidTablesException e) {
            throw new PublishRefusedException("the tables are not valid:\n" + e.getMessage(), e);
        }
    }

    private void putBody(String hash, byte[] body) throws PublishException {
        try {
            objects.put(keys.body(hash), body);
        } catch (PlatformException e) {
            // A body without a reference to it has no effect, whether it was stored or not.
            throw Failures.withoutEffect("tables cannot be stored", e);
        }
    }

    private VersionEntry commit(Head base, String hash) throws PublishException {
        VersionEntry entry =
                new VersionEntry(
                        nextNumber(base), hash, author, clock.now().toEpochMilli(), tokens.next());
        beforeCommit.accept(entry.token());
        try {
            if (tables.commit(transaction(base, entry))) {
                return entry;
            }
        } catch (PlatformOutcomeUnknownException e) {
            return resolveLostAnswer(entry, e);
        } catch (PlatformException e) {
            throw Failures.withoutEffect("change cannot be committed", e);
        }
        return resolveRefusal(base, entry);
    }

    /**
     * Returns a number above that of the head and above those that nodes hold. Nodes hold higher
     * ones if the platform was restored from a copy; they would ignore a number given out again.
     */
    private long nextNumber(Head base) {
        long held = highestHeld.getAsLong();
        boolean lost = held > base.number() && held - base.number() <= MAX_LOST_VERSIONS;
        return (lost ? held : base.number()) + 1;
    }

    private Transaction transaction(Head base, VersionEntry entry) {
        byte[] row = RowCodec.encode(entry);
        return Transaction.withToken(entry.token())
                .requireRevision(keys.head(), base.revision())
                .requireAbsent(keys.version(entry.number()))
                .requireAbsent(keys.token(entry.token()))
                .put(keys.head(), row)
                .put(keys.version(entry.number()), row)
                .put(keys.token(entry.token()), RowCodec.encodeAccepted(entry.number()))
                .build();
    }

    private VersionEntry resolveLostAnswer(VersionEntry entry, PlatformException cause)
            throws PublishException {
        if (tokenRows.resolve(entry.token()).accepted()) {
            return entry;
        }
        throw new PublishUnavailableException(
                "the commit request was lost; the change was not accepted and never will be",
                cause);
    }

    /**
     * Determines why the transaction was not applied. The platform deduplicates transactions by
     * token, but remembers only a bounded number of tokens: a retry whose token it has forgotten is
     * refused although the first request took effect. Therefore the token row is read.
     */
    private VersionEntry resolveRefusal(Head base, VersionEntry entry) throws PublishException {
        Optional<Resolution> decided;
        try {
            decided = tokenRows.read(entry.token());
        } catch (PlatformException e) {
            throw new PublishOutcomeUnknownException(entry.token(), e);
        }
        if (decided.isEmpty()) {
            throw new PublishConflictException(base.number(), latestNumber(entry));
        }
        if (decided.get().accepted()) {
            return entry;
        }
        throw new PublishRefusedException(
                "publication " + entry.token() + " was aborted by another command");
    }

    /**
     * Returns the number of the latest version or, if it cannot be read, the contested number,
     * which is certainly taken.
     */
    private long latestNumber(VersionEntry entry) throws PublishCorruptException {
        try {
            return Math.max(entry.number(), source.head().number());
        } catch (PublishCorruptException e) {
            throw e;
        } catch (PublishException e) {
            return entry.number();
        }
    }

    /**
     * Determines the outcome of a publication. If it has not been accepted so far, aborts it, so
     * that it never will be.
     *
     * @throws PublishOutcomeUnknownException if the platform does not answer
     */
    public Resolution resolve(String token) throws PublishException {
        if (!TokenSource.isToken(token)) {
            throw new PublishRefusedException(
                    "token must have 32 lower-case hexadecimal digits, was " + token);
        }
        return tokenRows.resolve(token);
    }

    /**
     * Publishes the content of an older version again, under the next version number.
     *
     * @throws PublishConflictException if another change was accepted in the meantime
     * @throws PublishOutcomeUnknownException if the answer of the platform was lost and the outcome
     *     could not be determined
     */
    public VersionEntry rollback(long number) throws PublishException {
        return rollback(number, source.head());
    }

    /**
     * Publishes the content of an older version again, as the successor of version {@code
     * expectedVersion}.
     *
     * @throws PublishConflictException if another version is the latest
     * @throws PublishOutcomeUnknownException if the answer of the platform was lost and the outcome
     *     could not be determined
     */
    public VersionEntry rollback(long number, long expectedVersion) throws PublishException {
        return rollback(number, expectedHead(expectedVersion));
    }

    private VersionEntry rollback(long number, Head base) throws PublishException {
        VersionEntry old = entry(number);
        Tables content = check(source.body(old.hash()));
        deltas.write(base, old.hash(), content);
        return commit(base, old.hash());
    }

    /**
     * Returns up to {@code limit} accepted versions, latest first. Numbers are missing where the
     * platform was restored from a copy.
     */
    public List<VersionEntry> history(int limit) throws PublishException {
        if (limit < 1) {
            throw new IllegalArgumentException("limit must be at least 1, was " + limit);
        }
        List<VersionEntry> history = new ArrayList<>();
        long latest = source.head().number();
        for (long number = latest; number >= 1 && history.size() < limit; number--) {
            source.entry(number).ifPresent(history::add);
        }
        return history;
    }

    /** Returns an accepted version with its content, verified against its hash. */
    public Version version(long number) throws PublishException {
        VersionEntry entry = entry(number);
        byte[] body = source.body(entry.hash());
        return new Version(number, entry.hash(), check(body));
    }

    /** Returns the source from which nodes read the versions of this mesh. */
    public VersionSource source() {
        return source;
    }

    private VersionEntry entry(long number) throws PublishException {
        return source.entry(number)
                .orElseThrow(
                        () -> new PublishRefusedException("version " + number + " does not exist"));
    }

    /** Builder for {@link Publisher}. */
    public static final class Builder {
        private final String mesh;
        private final TableService tables;
        private final ObjectStore objects;
        private Clock clock = Clock.system();
        private String author = "unknown";
        private RandomGenerator random = new SecureRandom();
        private Consumer<String> beforeCommit = token -> {};
        private LongSupplier highestHeld = () -> 0;

        private Builder(String mesh, TableService tables, ObjectStore objects) {
            this.mesh = mesh;
            this.tables = tables;
            this.objects = objects;
        }

        /** Sets the clock for the acceptance time of versions. */
        public Builder clock(Clock clock) {
            this.clock = clock;
            return this;
        }

        /** Sets the author of the versions. */
        public Builder author(String author) {
            this.author = author;
            return this;
        }

        /**
         * Sets the source of randomness for tokens; it must not produce the same sequence for two
         * publishers.
         */
        public Builder random(RandomGenerator random) {
            this.random = random;
            return this;
        }

        /**
         * Sets a consumer that receives the token of each publication before its commit, so that
         * the outcome can be resolved even if this process dies.
         */
        public Builder beforeCommit(Consumer<String> beforeCommit) {
            this.beforeCommit = beforeCommit;
            return this;
        }

        /** Sets the supplier of the highest version number that nodes hold, 0 if unknown. */
        public Builder highestHeld(LongSupplier highestHeld) {
            this.highestHeld = highestHeld;
            return this;
        }

        /**
         * Creates the publisher.
         *
         * @throws IllegalArgumentException if the name of the mesh is invalid
         */
        public Publisher build() {
            return new Publisher(this);
        }
    }
}
