package dev.zinniaring.calls;

import dev.zinniaring.admission.CallerHeaders;
import dev.zinniaring.admission.Fingerprints;
import java.util.ArrayList;
import java.util.List;

/**
 * Fingerprint of a call: equal whenever the same caller sends the same request, at any node and
 * under any call id.
 */
final class CallFingerprint {
    private CallFingerprint() {}

    /** Returns the fingerprint of a call, which its entry node and its owner node compute alike. */
    static long of(Exchange exchange, HeaderNames names) {
        List<String> caller = new ArrayList<>();
        HopHeaders.forEachEndToEnd(
                exchange.headers(),
                (name, value) -> {
                    if (CallerHeaders.identifyCaller(name) && !names.perAttempt(name)) {
                        caller.add(name + ":" + value);
                    }
                });
        return Fingerprints.ofCaller(
                exchange.host(), exchange.method(), exchange.target(), caller, exchange.body());
    }

    /** Returns a fingerprint as it appears in the log. */
    static String text(long fingerprint) {
        return Long.toHexString(fingerprint);
    }
}
