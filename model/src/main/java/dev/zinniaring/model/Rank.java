package dev.zinniaring.model;

/**
 * A class of calls with its urgency. Ranks are declared by operators and referred to by routes.
 *
 * @param name unique name
 * @param order position, 0 for the most urgent; unique
 * @param worth relative worth of one completed call, at least 1
 * @param floorShare share of a backend server's capacity that the rank keeps while others flood,
 *     from 0 to 1; the shares of all ranks add up to at most 1
 */
public record Rank(String name, int order, int worth, double floorShare) {}
