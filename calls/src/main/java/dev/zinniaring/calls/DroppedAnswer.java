package dev.zinniaring.calls;

/**
 * Bytes from a server that were not taken as the answer to a request.
 *
 * @param connection number of the connection on which they arrived
 * @param requests requests that the connection has carried so far
 * @param lastId id of the request that the connection carried last, empty if it had none
 * @param echoedId id that the answer echoes, empty if it names none or could not be decoded
 * @param status status of the answer, 0 if it could not be decoded
 * @param reason reason code, such as {@link #FOREIGN}
 */
public record DroppedAnswer(
        long connection, int requests, String lastId, String echoedId, int status, String reason) {
    /** The answer names another request than the one that waits. */
    static final String FOREIGN = "foreign";

    /** The answer names no request, and may be a late one to an earlier request. */
    static final String AMBIGUOUS = "ambiguous";

    /** No request was waiting on the connection. */
    static final String UNREQUESTED = "unrequested";

    /** The bytes are no answer in the protocol. */
    static final String MALFORMED = "malformed";
}
