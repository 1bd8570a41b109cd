package dev.zinniaring.node;

import java.io.IOException;

/** Thrown if received bytes are not a valid HTTP/1.x response. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
