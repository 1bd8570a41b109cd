package dev.zinniaring.calls;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;

/** The memory for the heads of one connection: of the request that is read, and of those before. */
final class HeadClaims {
    private final IdentityHashMap<Exchange, List<HeadBudget.Claim>> unanswered =
            new IdentityHashMap<>(2);
    private List<HeadBudget.Claim> reading = new ArrayList<>(1);

    /** Adds a claim for the request that is read next. */
    HeadBudget.Claim add(HeadBudget.Claim claim) {
        reading.add(claim);
        return claim;
    }

    /** Keeps what was claimed until a request that has been read is answered. */
    void read(Exchange exchange) {
        unanswered.put(exchange, reading);
        reading = new ArrayList<>(1);
    }

    /** Releases the memory for a request that has been answered. */
    void release(Exchange exchange) {
        List<HeadBudget.Claim> claims = unanswered.remove(exchange);
        if (claims != null) {
            claims.forEach(HeadBudget.Claim::release);
        }
    }

    /** Releases the memory for a request that is not read to its end. */
    void releaseUnread() {
        reading.forEach(HeadBudget.Claim::release);
        reading.clear();
    }

    /** Releases all memory, since the connection has ended. */
    void releaseAll() {
        releaseUnread();
        unanswered.values().forEach(claims -> claims.forEach(HeadBudget.Claim::release));
        unanswered.clear();
    }
}
