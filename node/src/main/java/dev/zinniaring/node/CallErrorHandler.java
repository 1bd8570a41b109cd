package dev.zinniaring.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Answers requests that Jetty rejects before they become calls; none of them has run. */
final class CallErrorHandler extends ErrorHandler {
    private static final String REASON = "bad-request";

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        fill(response.getHeaders());
        // The parser may have read its body by a framing that the listener would have refused.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        response.write(true, body(), callback);
        return true;
    }

    @Override
    public ByteBuffer badMessageError(int status, String reason, HttpFields.Mutable fields) {
        fill(fields);
        return body();
    }

    private static void fill(HttpFields.Mutable fields) {
        fields.put(CallHeaders.OUTCOME, Outcome.NOT_RUN.headerValue());
        fields.put(CallHeaders.REASON, REASON);
        fields.put(HttpHeader.CONTENT_TYPE, "application/json");
    }

    private static ByteBuffer body() {
        String text = "{\"outcome\":\"not-run\",\"reason\":\"" + REASON + "\"}\n";
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
