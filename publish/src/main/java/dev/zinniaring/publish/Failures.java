package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformInvalidRequestException;

/** Translates exceptions of the platform client into {@link PublishException}s. */
final class Failures {
    private Failures() {}

    /** Translates the failure of a request that did not change the versions of the mesh. */
    static PublishException withoutEffect(String operation, PlatformException cause) {
        String message = operation + ": " + cause.getMessage();
        return cause instanceof PlatformInvalidRequestException
                ? new PublishRefusedException(message, cause)
                : new PublishUnavailableException(message, cause);
    }
}
