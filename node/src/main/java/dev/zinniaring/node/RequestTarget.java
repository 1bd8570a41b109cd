package dev.zinniaring.node;

import java.nio.charset.StandardCharsets;

/** The target of a request as its caller sent it. OkHttp would normalize it and escape bytes. */
record RequestTarget(byte[] bytes) {
    static RequestTarget of(String target) {
        return new RequestTarget(target.getBytes(StandardCharsets.UTF_8));
    }
}
