package dev.zinniaring.model;

/**
 * A priority class of calls. Operators declare ranks, and each route refers to one by name.
 *
 * @param name unique name
 * @param order unique priority order; 0 is the most urgent
 * @param worth relative value of one completed call, at least 1
 * @param floorShare share of a backend server's capacity reserved for the rank while other ranks
 *     overload the server, from 0 to 1; the shares of all ranks add up to at most 1
 */
public record Rank(String name, int order, int worth, double floorShare) {}
