package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.Optional;

/**
 * The rows that settle publications whose answer was lost. Each transaction that publishes creates
 * its token row and requires that the row was absent. Whoever creates the row first decides: the
 * transaction by accepting, or a resolver by aborting.
 */
final class TokenRows {
    /** Each failed attempt may be one lost answer; the client below repeats as well. */
    private static final int ATTEMPTS = 3;

    private final MeshKeys keys;
    private final TableService tables;
    private final TokenSource tokens;

    TokenRows(MeshKeys keys, TableService tables, TokenSource tokens) {
        this.keys = keys;
        this.tables = tables;
        this.tokens = tokens;
    }

    /** Returns what the token row says, or empty if nothing has been decided. */
    Optional<Resolution> read(String token) throws PlatformException, PublishCorruptException {
        Optional<Row> row = tables.get(keys.token(token));
        return row.isEmpty() ? Optional.empty() : Optional.of(RowCodec.decodeToken(row.get()));
    }

    /**
     * Reads the decision, or decides by creating the row as aborted, after which the publication's
     * transaction can no longer be applied.
     */
    Resolution settle(String token) throws PublishOutcomeUnknownException, PublishCorruptException {
        for (int attempt = 1; ; attempt++) {
            try {
                return settleOnce(token);
            } catch (PlatformException e) {
                if (attempt == ATTEMPTS) {
                    throw new PublishOutcomeUnknownException(token, e);
                }
            }
        }
    }

    private Resolution settleOnce(String token) throws PlatformException, PublishCorruptException {
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
                                        "row " + keys.token(token) + " has vanished"));
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
