package dev.zinniaring.calls;

import java.util.List;

/** Decides whether all readers of a request find the same end of its body (RFC 9112, section 6). */
public final class RequestFraming {
    private RequestFraming() {}

    /**
     * Returns whether a request may be read.
     *
     * @param transferCodings values of its {@code Transfer-Encoding} lines
     * @param withLength whether it has a {@code Content-Length} too
     * @param chunkable whether its version has transfer codings, as HTTP/1.0 has not
     */
    public static boolean unambiguous(
            List<String> transferCodings, boolean withLength, boolean chunkable) {
        if (transferCodings.isEmpty()) {
            return true;
        }
        return chunkable
                && !withLength
                && transferCodings.size() == 1
                && transferCodings.get(0).trim().equalsIgnoreCase("chunked");
    }
}
