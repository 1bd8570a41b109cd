package dev.zinniaring.bench;

/** A measurement that takes less than 50 seconds and includes a baseline from the same run. */
public interface Experiment {
    /** Returns the name used on the command line, in lower case with hyphens. */
    String name();

    /** Returns a one-line description of what is measured. */
    String summary();

    /**
     * Runs the experiment.
     *
     * @param seed seed of all random choices
     * @throws ExperimentException if the measurement could not be completed
     */
    Report run(long seed) throws ExperimentException;
}
