package dev.zinniaring.routing;

/** Computes the probability that calls may leave their availability zone, by its utilisation. */
final class Spill {
    private static final double MIN_UTILISATION = 0.7;
    private static final double FULL_SPILL_UTILISATION = 1.3;

    private Spill() {}

    /**
     * Returns the probability to consider the servers of all zones: 0 up to a utilisation of 0.7, 1
     * from 1.3, and a smooth curve in between. With a threshold instead, all nodes of a zone would
     * move their calls to other zones at the same time, and back again.
     */
    static double probability(double utilisation) {
        double position =
                Math.max(
                        0,
                        Math.min(
                                1,
                                (utilisation - MIN_UTILISATION)
                                        / (FULL_SPILL_UTILISATION - MIN_UTILISATION)));
        return position * position * (3 - 2 * position);
    }
}
