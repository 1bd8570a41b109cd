package dev.zinniaring.standins;

import java.util.random.RandomGenerator;

/** How long a fake backend server works on a call. */
@FunctionalInterface
public interface ServiceTime {
    /** Returns the time of one call in microseconds. */
    long nextMicros(RandomGenerator random);

    /** Returns a time that is the same for each call. */
    static ServiceTime fixed(long micros) {
        return random -> micros;
    }

    /** Returns exponentially distributed times. */
    static ServiceTime exponential(long meanMicros) {
        return random -> (long) (random.nextExponential() * meanMicros);
    }

    /**
     * Returns log-normal times.
     *
     * @param sigma spread of the logarithm; 0.5 puts the p99 at about three times the median
     */
    static ServiceTime logNormal(long medianMicros, double sigma) {
        return random -> (long) (medianMicros * Math.exp(sigma * random.nextGaussian()));
    }
}
