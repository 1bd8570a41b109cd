package dev.zinniaring.routing;

/** How readily calls leave their availability zone as its servers fill up. */
final class Spill {
    private static final double FROM = 0.7;
    private static final double FULL = 1.3;

    private Spill() {}

    /**
     * Returns the probability to consider the servers of all zones, from 0 up to a utilisation of
     * 0.7 to 1 from 1.3 on, without a step in between: with a threshold, all nodes of a zone would
     * move their calls at once, and back again.
     */
    static double probability(double utilisation) {
        double position = Math.max(0, Math.min(1, (utilisation - FROM) / (FULL - FROM)));
        return position * position * (3 - 2 * position);
    }
}
