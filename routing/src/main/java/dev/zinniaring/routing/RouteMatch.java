package dev.zinniaring.routing;

import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;

/**
 * What a call is to be carried by. Holds references to the entries of one {@link RoutingTable}, so
 * that a later table does not change a call that is under way.
 *
 * @param route the route that matched
 * @param rank the route's rank
 * @param pool the route's pool with its backend servers
 */
public record RouteMatch(Route route, Rank rank, PoolEndpoints pool) {}
