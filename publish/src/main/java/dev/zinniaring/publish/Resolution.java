package dev.zinniaring.publish;

/**
 * Final outcome of a publication.
 *
 * @param number number of the accepted version, or 0 if the publication was not accepted and never
 *     will be
 */
public record Resolution(long number) {
    /** The publication was not accepted and never will be. */
    public static final Resolution ABORTED = new Resolution(0);

    /** Returns the resolution of an accepted publication. */
    public static Resolution accepted(long number) {
        return new Resolution(number);
    }

    /** Returns whether the publication was accepted. */
    public boolean accepted() {
        return number > 0;
    }
}
