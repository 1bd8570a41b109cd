package dev.zinniaring.calls;

import dev.zinniaring.admission.Suspect;
import dev.zinniaring.admission.SuspectCodec;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Header in which nodes tell each other, with a call and its result, at which crashes its request
 * was in flight. An entry node thus knows of a crash before it repeats the call.
 */
final class SuspectHeader {
    private static final int MAX_LENGTH = 4_096;

    private SuspectHeader() {}

    static void write(HttpHeaders headers, @Nullable Suspect suspect) {
        if (suspect != null) {
            byte[] encoded = SuspectCodec.encode(List.of(suspect));
            headers.set(HopHeaders.SUSPECT, Base64.getUrlEncoder().encodeToString(encoded));
        }
    }

    /** Returns the suspect in the headers, or null if there is none or it is malformed. */
    static @Nullable Suspect read(HttpHeaders headers) {
        String value = headers.get(HopHeaders.SUSPECT);
        if (value == null || value.length() > MAX_LENGTH) {
            return null;
        }
        try {
            List<Suspect> suspects = SuspectCodec.decode(Base64.getUrlDecoder().decode(value));
            return suspects.size() == 1 ? suspects.get(0) : null;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }
}
