package dev.zinniaring.soak;

import dev.zinniaring.platform.PlatformHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Names a run and its status in the answer of a backend server. A call that comes again under its
 * id is told apart by the number of its send.
 *
 * @param run name of the run, unique in a soak run
 */
record RunTag(String run, int status) {
    /** Header of an answer. */
    static final String HEADER = "Run-Tag";

    /** Header of a request that tells its sends apart. */
    static final String SEND_NUMBER = "Send-Number";

    /** Returns the name of one send of a call. */
    static String send(String callId, int number) {
        return callId + "#" + number;
    }

    /** Returns the name of the send that a request belongs to. */
    static String send(HttpHeaders headers) {
        return headers.get(PlatformHeaders.names().callId(), "")
                + "#"
                + headers.get(SEND_NUMBER, "");
    }

    static RunTag parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot < 0 || !text.substring(dot + 1).matches("\\d{3}")) {
            return new RunTag(text, 0);
        }
        return new RunTag(text.substring(0, dot), Integer.parseInt(text.substring(dot + 1)));
    }

    @Override
    public String toString() {
        return run + "." + status;
    }
}
