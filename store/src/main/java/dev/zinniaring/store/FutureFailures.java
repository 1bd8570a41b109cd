package dev.zinniaring.store;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Helpers for failed futures, such as those of a {@link RowStore}. */
public final class FutureFailures {
    private FutureFailures() {}

    /**
     * Returns the cause of a {@link CompletionException}, which dependent stages of a future wrap
     * around the original exception; returns any other throwable unchanged.
     */
    public static @Nullable Throwable unwrap(@Nullable Throwable thrown) {
        return thrown instanceof CompletionException && thrown.getCause() != null
                ? thrown.getCause()
                : thrown;
    }
}
