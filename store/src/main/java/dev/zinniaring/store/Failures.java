package dev.zinniaring.store;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Reads failures of calls to a {@link RowStore}. */
public final class Failures {
    private Failures() {}

    /** Returns what a stage of a future failed with, without the wrapper that later stages add. */
    public static @Nullable Throwable cause(@Nullable Throwable thrown) {
        return thrown instanceof CompletionException && thrown.getCause() != null
                ? thrown.getCause()
                : thrown;
    }
}
