package dev.zinniaring.bench;

/** One bounded measurement, under 50 seconds, with a baseline from the same run. */
public interface Experiment {
    /** Returns the name on the command line, in lower case with hyphens. */
    String name();

    /** Returns one line that says what is measured. */
    String summary();

    /**
     * Runs the experiment.
     *
     * @param seed seeds everything that is drawn at random
     * @throws ExperimentException if it could not be carried out
     */
    Report run(long seed) throws ExperimentException;
}
