package dev.zinniaring.publish;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/** Generates tokens that are unique among all publications. */
final class TokenSource {
    /** 128 random bits make a collision practically impossible at any rate of publications. */
    private static final int TOKEN_BYTES = 16;

    private static final Pattern TOKEN = Pattern.compile("[0-9a-f]{32}");

    private final RandomGenerator random;

    TokenSource(RandomGenerator random) {
        this.random = random;
    }

    String next() {
        byte[] bytes = new byte[TOKEN_BYTES];
        synchronized (random) {
            random.nextBytes(bytes);
        }
        return HexFormat.of().formatHex(bytes);
    }

    static boolean isToken(String text) {
        return TOKEN.matcher(text).matches();
    }
}
