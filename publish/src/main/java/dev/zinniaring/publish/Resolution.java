package dev.zinniaring.publish;

/**
 * What became of a publication; it can no longer change.
 *
 * @param number the number under which it was accepted, 0 if it was not accepted and never will be
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
