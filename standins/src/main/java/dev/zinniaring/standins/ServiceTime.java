package dev.zinniaring.standins;

import java.util.random.RandomGenerator;

/** Distribution of the times for which a call occupies a slot of a fake backend server. */
@FunctionalInterface
public interface ServiceTime {
    /** Draws the service time of one call, in microseconds. */
    long nextMicros(RandomGenerator random);

    /** Returns a constant service time. */
    static ServiceTime fixed(long micros) {
        return random -> micros;
    }

    /** Returns exponentially distributed service times. */
    static ServiceTime exponential(long meanMicros) {
        return random -> (long) (random.nextExponential() * meanMicros);
    }

    /**
     * Returns log-normally distributed service times.
     *
     * @param sigma standard deviation of the logarithm; with 0.5, p99 is about three times the
     *     median
     */
    static ServiceTime logNormal(long medianMicros, double sigma) {
        return random -> (long) (medianMicros * Math.exp(sigma * random.nextGaussian()));
    }
}
