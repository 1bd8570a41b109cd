package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.Optional;

/**
 * Rows that determine the outcome of publications whose answer was lost. Each publishing
 * transaction creates its token row and requires that the row is absent. Whoever creates the row
 * first decides the outcome: the transaction by accepting, or a resolver by aborting.
 */
final class TokenRows {
    /** Each failed attempt may be due to one lost answer; the platform client retries as well. */
    private static final int ATTEMPTS = 3;

    private final MeshKeys keys;
    private final TableService tables;
    private final TokenSource tokens;

    TokenRows(MeshKeys keys, TableService tables, TokenSource tokens) {
        this.keys = keys;
        this.tables = tables;
        this.tokens = tokens;
    }

    /** Returns the outcome in the token row, or empty if the outcome is still undecided. */
    Optional<Resolution> read(String token) throws PlatformException, PublishCorruptException {
        Optional<Row> row = tables.get(keys.token(token));
        return row.isEmpty() ? Optional.empty() : Optional.of(RowCodec.decodeToken(row.get()));
    }

    /**
     * Returns the outcome. If it is undecided, creates the token row as aborted, after which the
     * transaction of the publication can no longer be applied.
     */
    Resolution resolve(String token)
            throws PublishOutcomeUnknownException, PublishCorruptException {
        for (int attempt = 1; ; attempt++) {
            try {
                return tryResolve(token);
            } catch (PlatformException e) {
                if (attempt == ATTEMPTS) {
                    throw new PublishOutcomeUnknownException(token, e);
                }
            }
        }
    }

    private Resolution tryResolve(String token) throws PlatformException, PublishCorruptException {
        Optional<Resolution> decided = read(token);
        if (decided.isPresent()) {
            return decided.get();
        }
        if (abort(token)) {
            return Resolution.ABORTED;
        }
        return read(token)
                .orElseThrow(
                        () ->
                                new PublishCorruptException(
                                        "row " + keys.token(token) + " has been deleted"));
    }

    private boolean abort(String token) throws PlatformException {
        String row = keys.token(token);
        return tables.commit(
                Transaction.withToken(tokens.next())
                        .requireAbsent(row)
                        .put(row, RowCodec.encodeAborted())
                        .build());
    }
}
