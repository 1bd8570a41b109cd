package dev.zinniaring.accounts;

/**
 * Calls of one account at one node since its last report.
 *
 * @param admitted calls that were admitted, less those that did not run; may be negative
 * @param wanted calls that were asked for, admitted or not
 */
public record AccountUsage(int admitted, int wanted) {
    /** Returns the sum of two. */
    AccountUsage plus(AccountUsage other) {
        return new AccountUsage(admitted + other.admitted, wanted + other.wanted);
    }
}
