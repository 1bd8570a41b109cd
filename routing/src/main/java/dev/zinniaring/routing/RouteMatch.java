package dev.zinniaring.routing;

import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;

/**
 * The route of a call with its rank and pool. Refers to the entries of one {@link RoutingTable}, so
 * that a later table does not affect a call in progress.
 *
 * @param route the route that matched
 * @param rank the route's rank
 * @param pool the route's pool with its current backend servers
 */
public record RouteMatch(Route route, Rank rank, PoolEndpoints pool) {}
