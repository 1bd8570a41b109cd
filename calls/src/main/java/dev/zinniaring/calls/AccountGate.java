package dev.zinniaring.calls;

import dev.zinniaring.accounts.Account;
import dev.zinniaring.accounts.AccountTable;
import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.accounts.QuotaShares;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides whose call it is and whether that account may make it now. The key stays here: servers
 * and other nodes get the name of the account in its place.
 */
final class AccountGate {
    /** Reason of a refusal because the key may have been taken away. */
    static final String UNCONFIRMED = "keys-unconfirmed";

    /** Reason of a refusal because the account has used up its quota. */
    static final String OVER_QUOTA = "quota";

    /** Reason of a refusal because no account holds the key. */
    static final String UNKNOWN_KEY = "unknown-key";

    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Time in which a node that has lost the store usually hears from a peer. */
    private static final String UNCONFIRMED_RETRY_SECONDS = "0.5";

    /** Time in which quotas accrue what a caller's next request takes. */
    private static final String QUOTA_RETRY_SECONDS = "1.0";

    private final HeaderNames names;
    private final KeyFreshness freshness;
    private final @Nullable Duration revocationBound;
    private final QuotaShares quotas;

    /**
     * Result of a check. If there is a refusal, the call does not run.
     *
     * @param account account that makes the call, null if none is needed
     */
    record Verdict(@Nullable Account account, @Nullable Refusal refusal) {
        private static final Verdict NO_ACCOUNT = new Verdict(null, null);
    }

    /**
     * Refusal of a call.
     *
     * @param retrySeconds value of the Retry-After header, null if coming back is of no use
     */
    record Refusal(int status, String reason, @Nullable String retrySeconds) {}

    /**
     * Creates a gate.
     *
     * @param revocationBound time within which a key that is taken away has to be refused by every
     *     node, or null if only nodes that follow the configuration have to
     */
    AccountGate(
            HeaderNames names,
            KeyFreshness freshness,
            @Nullable Duration revocationBound,
            QuotaShares quotas) {
        this.names = names;
        this.freshness = freshness;
        this.revocationBound = revocationBound;
        this.quotas = quotas;
    }

    /**
     * Checks a call, and replaces its key by the name of the account if accounts are declared.
     * Takes from the account's quota if the call is not refused.
     */
    Verdict check(AccountTable accounts, CallRoute route, HttpHeaders headers) {
        if (accounts.isEmpty()) {
            return Verdict.NO_ACCOUNT;
        }
        List<String> keys = headers.getAll(names.accountKey());
        Account holder = keys.size() == 1 ? accounts.holder(keys.get(0)) : null;
        headers.remove(names.accountKey());
        headers.remove(names.account());
        if (route.keyless()) {
            return new Verdict(holder, null);
        }
        if (revocationBound != null && !freshness.holds(revocationBound)) {
            return refused(SERVICE_UNAVAILABLE, UNCONFIRMED, UNCONFIRMED_RETRY_SECONDS);
        }
        if (holder == null) {
            return refused(UNAUTHORIZED, UNKNOWN_KEY, null);
        }
        return quotas.tryAdmit(holder)
                ? new Verdict(holder, null)
                : refused(TOO_MANY_REQUESTS, OVER_QUOTA, QUOTA_RETRY_SECONDS);
    }

    private static Verdict refused(int status, String reason, @Nullable String retrySeconds) {
        return new Verdict(null, new Refusal(status, reason, retrySeconds));
    }

    /** Gives back what a call took from its account's quota, since no server has run it. */
    void giveBack(@Nullable Account account, CallRoute route) {
        if (account != null && !route.keyless()) {
            quotas.giveBack(account);
        }
    }
}
