package dev.zinniaring.calls;

import org.jspecify.annotations.Nullable;

/**
 * Whether an answer belongs to the request that waits for one. A server may answer a request twice,
 * the second time late, when the next request on the connection waits; its id tells the two apart,
 * and not every answer names one.
 */
enum AnswerMatch {
    /** The answer belongs to the request. */
    OWN,
    /** The answer belongs to another request and is skipped. */
    FOREIGN,
    /** Nothing tells whose answer it is, so neither this one nor a later one can be taken. */
    AMBIGUOUS;

    private static final int FIRST_FAILURE_STATUS = 400;

    /**
     * Matches an answer.
     *
     * @param expectedId id of the request, null if it has none
     * @param echoedId id that the answer names, null if it names none
     * @param first whether the request is the first one on its connection, so that no earlier one
     *     can be answered late
     */
    static AnswerMatch of(
            @Nullable String expectedId, @Nullable String echoedId, int status, boolean first) {
        if (echoedId != null) {
            return echoedId.equals(expectedId) ? OWN : FOREIGN;
        }
        if (first) {
            return expectedId == null || status >= FIRST_FAILURE_STATUS ? OWN : AMBIGUOUS;
        }
        // A success names its request, but a failure need not.
        return status >= FIRST_FAILURE_STATUS ? AMBIGUOUS : FOREIGN;
    }
}
