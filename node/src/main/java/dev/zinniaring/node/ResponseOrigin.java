package dev.zinniaring.node;

import java.util.List;

/** Whether a response belongs to the call that was sent, judged by the call ids that it carries. */
enum ResponseOrigin {
    /** Carries the id of the call. */
    NAMED,
    /**
     * Carries no id, but can only belong to the call: a failure on a connection that has carried no
     * other. A late copy of it would be indistinguishable from the next response.
     */
    UNNAMED,
    /** May belong to another call. */
    FOREIGN;

    private static final int FIRST_FAILURE_STATUS = 400;

    /**
     * Returns the origin of a response.
     *
     * @param sentId id of the call that was sent
     * @param receivedIds call ids in the response
     * @param firstOnConnection whether the call is the first that was sent on its connection
     */
    static ResponseOrigin of(
            String sentId, List<String> receivedIds, int status, boolean firstOnConnection) {
        if (receivedIds.isEmpty()) {
            return firstOnConnection && status >= FIRST_FAILURE_STATUS ? UNNAMED : FOREIGN;
        }
        return receivedIds.stream().allMatch(sentId::equals) ? NAMED : FOREIGN;
    }
}
