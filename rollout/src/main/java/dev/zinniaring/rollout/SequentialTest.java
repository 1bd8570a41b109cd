package dev.zinniaring.rollout;

/**
 * Wald's sequential probability ratio test of whether a new version gives more bad answers than the
 * versions beside it. It compares with what the others give at the same time, so that a bad minute
 * of the whole service does not count against the new version.
 *
 * <p>The evidence for a good version is bounded, so that one that turns bad later is found as soon
 * as one that is bad from the start.
 */
final class SequentialTest {
    /** Probability that a version which is no worse is found bad. */
    static final double FALSE_ALARM = 0.0005;

    /** Probability that a version which is worse by {@link #MIN_DIFFERENCE} is found good. */
    static final double MISS = 0.01;

    /** Smallest rise of the rate of bad answers that must be found. */
    static final double MIN_DIFFERENCE = 0.2;

    private static final double BAD_EVIDENCE = Math.log((1 - MISS) / FALSE_ALARM);
    private static final double GOOD_EVIDENCE = Math.log(MISS / (1 - FALSE_ALARM));

    /** Rate of bad answers that is expected of every version. */
    private static final double MIN_RATE = 0.02;

    private static final double MAX_RATE = 0.7;

    /** Factor by which earlier calls of the other versions count less with each observation. */
    private static final double DECAY = 0.8;

    private double evidence;
    private double otherCalls;
    private double otherBad;

    /** Adds calls. */
    void add(VersionOutcomes outcomes) {
        otherCalls = otherCalls * DECAY + outcomes.otherCalls();
        otherBad = otherBad * DECAY + outcomes.otherBad();
        double expected = (otherBad + MIN_RATE) / (otherCalls + 1);
        expected = Math.max(MIN_RATE, Math.min(MAX_RATE, expected));
        double worse = expected + MIN_DIFFERENCE;
        int good = outcomes.targetCalls() - outcomes.targetBad();
        evidence += outcomes.targetBad() * Math.log(worse / expected);
        evidence += good * Math.log((1 - worse) / (1 - expected));
        evidence = Math.max(GOOD_EVIDENCE, evidence);
    }

    /** Returns whether the new version is worse. */
    boolean bad() {
        return evidence >= BAD_EVIDENCE;
    }

    /** Returns whether the new version is no worse. */
    boolean good() {
        return evidence <= GOOD_EVIDENCE;
    }

    /** Returns whether a worse version is the likelier explanation so far. */
    boolean leansBad() {
        return evidence > 0;
    }

    /** Returns whether it takes little more to find the new version worse. */
    boolean doubtful() {
        return evidence >= BAD_EVIDENCE / 2;
    }

    /** Returns the logarithm of the likelihood ratio, positive if it speaks for a worse version. */
    double evidence() {
        return evidence;
    }
}
