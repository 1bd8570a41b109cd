package dev.zinniaring.accounts;

/**
 * A client account as declared by the operators.
 *
 * @param name name, by which backend servers know the account
 * @param rankOrder order of the rank of its calls, 0 for the most urgent, or {@link #ROUTE_RANK}
 * @param quota requests that it may make
 */
public record Account(String name, int rankOrder, Quota quota) {
    /** Rank order of an account that declares none; the route's applies. */
    public static final int ROUTE_RANK = -1;

    /** Returns the rank order of a call of this account on a route with the given one. */
    public int rankOrder(int routeRankOrder) {
        return rankOrder == ROUTE_RANK ? routeRankOrder : rankOrder;
    }
}
