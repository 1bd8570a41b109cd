package dev.zinniaring.soak;

import java.io.IOException;
import java.util.function.IntConsumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

/** Passes on the status of a response, or 0 if there is no response. */
record StatusCallback(IntConsumer statuses) implements Callback {
    @Override
    public void onResponse(Call call, Response response) {
        try (response) {
            statuses.accept(response.code());
        }
    }

    @Override
    public void onFailure(Call call, IOException failure) {
        statuses.accept(0);
    }
}
