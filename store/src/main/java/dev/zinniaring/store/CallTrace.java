package dev.zinniaring.store;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;
import okhttp3.Response;

/** Records whether one HTTP call was sent and how many bytes it sent and received. */
final class CallTrace extends EventListener {
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200 \r\n\r\n".length();
    private static final int REQUEST_LINE_BYTES = "  HTTP/1.1\r\n\r\n".length();

    private final AtomicBoolean sent = new AtomicBoolean();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    /** Returns whether any byte of the request may have been sent. */
    boolean sent() {
        return sent.get();
    }

    long sentBytes() {
        return sentBytes.get();
    }

    long receivedBytes() {
        return receivedBytes.get();
    }

    @Override
    public void requestHeadersStart(Call call) {
        sent.set(true);
    }

    @Override
    public void requestHeadersEnd(Call call, Request request) {
        int targetBytes = request.method().length() + request.url().encodedPath().length();
        String query = request.url().encodedQuery();
        int queryBytes = query == null ? 0 : query.length() + 1;
        sentBytes.addAndGet(
                REQUEST_LINE_BYTES + targetBytes + queryBytes + request.headers().byteCount());
    }

    @Override
    public void requestBodyEnd(Call call, long byteCount) {
        sentBytes.addAndGet(byteCount);
    }

    @Override
    public void responseHeadersEnd(Call call, Response response) {
        receivedBytes.addAndGet(
                STATUS_LINE_BYTES + response.message().length() + response.headers().byteCount());
    }

    @Override
    public void responseBodyEnd(Call call, long byteCount) {
        receivedBytes.addAndGet(byteCount);
    }
}
