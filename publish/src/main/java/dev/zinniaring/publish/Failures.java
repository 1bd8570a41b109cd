package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformInvalidRequestException;

/** Turns the platform's exceptions into those of this layer. */
final class Failures {
    private Failures() {}

    /** Translates the failure of a request that left the mesh's versions as they were. */
    static PublishException withoutEffect(String what, PlatformException cause) {
        String message = what + ": " + cause.getMessage();
        return cause instanceof PlatformInvalidRequestException
                ? new PublishRefusedException(message, cause)
                : new PublishUnavailableException(message, cause);
    }
}
