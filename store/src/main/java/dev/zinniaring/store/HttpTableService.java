package dev.zinniaring.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * Client of the platform's table service, over the HTTP protocol described in {@link PlatformWire}.
 */
public final class HttpTableService implements TableService {
    private static final MediaType JSON = MediaType.get("application/json");

    private final PlatformHttp http;
    private final HttpUrl baseUrl;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param url base URL of the table service, such as {@code http://10.0.0.9:8700/table}
     * @throws IllegalArgumentException if {@code url} is not an HTTP URL
     */
    public HttpTableService(PlatformHttp http, String url) {
        this.http = http;
        this.baseUrl = PlatformHttp.baseUrl(url);
    }

    @Override
    public Optional<Row> get(String key) throws PlatformException {
        PlatformLimits.checkKey(key);
        Request request = new Request.Builder().url(rowUrl(key)).build();
        return row(key, http.send(RequestKind.GET_ROW, request));
    }

    @Override
    public Optional<Row> getIfChanged(String key, long knownRevision) throws PlatformException {
        PlatformLimits.checkKey(key);
        Request request =
                new Request.Builder()
                        .url(rowUrl(key))
                        .header("If-None-Match", PlatformWire.etag(knownRevision))
                        .build();
        PlatformHttp.BufferedResponse response = http.send(RequestKind.GET_ROW_IF_CHANGED, request);
        return row(key, response).filter(row -> row.revision() != knownRevision);
    }

    @Override
    public List<Row> scan(String prefix, int limit) throws PlatformException {
        PlatformLimits.checkScan(prefix, limit);
        HttpUrl url =
                baseUrl.newBuilder()
                        .addPathSegment("rows")
                        .addQueryParameter("prefix", prefix)
                        .addQueryParameter("limit", Integer.toString(limit))
                        .build();
        Request request = new Request.Builder().url(url).build();
        PlatformHttp.BufferedResponse response = http.send(RequestKind.SCAN_ROWS, request);
        try {
            return PlatformWire.decodeRows(response.body());
        } catch (IOException e) {
            throw malformedResponse("scan of " + prefix, e);
        }
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        PlatformLimits.checkTransaction(transaction);
        RequestBody body = RequestBody.create(PlatformWire.encodeTransaction(transaction), JSON);
        HttpUrl url = baseUrl.newBuilder().addPathSegment("transactions").build();
        Request request = new Request.Builder().url(url).post(body).build();
        PlatformHttp.BufferedResponse response = http.send(RequestKind.COMMIT, request);
        try {
            return PlatformWire.decodeApplied(response.body());
        } catch (IOException e) {
            throw new PlatformOutcomeUnknownException(
                    "the response to transaction " + transaction.token() + " is malformed", e);
        }
    }

    private HttpUrl rowUrl(String key) {
        return baseUrl.newBuilder().addPathSegment("row").addQueryParameter("key", key).build();
    }

    private static Optional<Row> row(String key, PlatformHttp.BufferedResponse response)
            throws PlatformInvalidRequestException {
        if (response.absent() || response.unchanged()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new Row(key, PlatformWire.revision(response.etag()), response.body()));
        } catch (IOException e) {
            throw malformedResponse("read of " + key, e);
        }
    }

    /**
     * Reports a malformed response to a read as an invalid request, which is not retried: the
     * likely cause is a wrong URL, and a retry would not help.
     */
    private static PlatformInvalidRequestException malformedResponse(
            String request, IOException cause) {
        return new PlatformInvalidRequestException(
                "the response to the " + request + " is malformed", cause);
    }
}
