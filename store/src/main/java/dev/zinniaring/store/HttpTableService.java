package dev.zinniaring.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** The platform's table service over HTTP, as {@link PlatformWire} describes it. */
public final class HttpTableService implements TableService {
    private static final MediaType JSON = MediaType.get("application/json");

    private final PlatformHttp http;
    private final HttpUrl baseUrl;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param url address of the table service, such as {@code http://10.0.0.9:8700/table}
     * @throws IllegalArgumentException if {@code url} is not an HTTP address
     */
    public HttpTableService(PlatformHttp http, String url) {
        this.http = http;
        this.baseUrl = PlatformHttp.baseUrl(url);
    }

    @Override
    public Optional<Row> get(String key) throws PlatformException {
        PlatformBounds.checkKey(key);
        Request request = new Request.Builder().url(rowUrl(key)).build();
        return row(key, http.send(RequestKind.GET_ROW, request));
    }

    @Override
    public Optional<Row> getIfNewer(String key, long knownRevision) throws PlatformException {
        PlatformBounds.checkKey(key);
        Request request =
                new Request.Builder()
                        .url(rowUrl(key))
                        .header("If-None-Match", PlatformWire.etag(knownRevision))
                        .build();
        PlatformHttp.Answer answer = http.send(RequestKind.GET_ROW_IF_NEWER, request);
        return row(key, answer).filter(row -> row.revision() > knownRevision);
    }

    @Override
    public List<Row> scan(String prefix, int limit) throws PlatformException {
        PlatformBounds.checkScan(prefix, limit);
        HttpUrl url =
                baseUrl.newBuilder()
                        .addPathSegment("rows")
                        .addQueryParameter("prefix", prefix)
                        .addQueryParameter("limit", Integer.toString(limit))
                        .build();
        Request request = new Request.Builder().url(url).build();
        PlatformHttp.Answer answer = http.send(RequestKind.SCAN_ROWS, request);
        try {
            return PlatformWire.decodeRows(answer.body());
        } catch (IOException e) {
            throw malformed("scan of " + prefix, e);
        }
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        PlatformBounds.checkTransaction(transaction);
        RequestBody body = RequestBody.create(PlatformWire.encodeTransaction(transaction), JSON);
        HttpUrl url = baseUrl.newBuilder().addPathSegment("transactions").build();
        Request request = new Request.Builder().url(url).post(body).build();
        PlatformHttp.Answer answer = http.send(RequestKind.COMMIT, request);
        try {
            return PlatformWire.decodeApplied(answer.body());
        } catch (IOException e) {
            throw new PlatformOutcomeUnknownException(
                    "the answer to transaction " + transaction.token() + " is malformed", e);
        }
    }

    private HttpUrl rowUrl(String key) {
        return baseUrl.newBuilder().addPathSegment("row").addQueryParameter("key", key).build();
    }

    private static Optional<Row> row(String key, PlatformHttp.Answer answer)
            throws PlatformInvalidRequestException {
        if (answer.absent() || answer.unchanged()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Row(key, PlatformWire.revision(answer.etag()), answer.body()));
        } catch (IOException e) {
            throw malformed("read of " + key, e);
        }
    }

    /** A malformed answer to a read points to a wrong address; repeating would not help. */
    private static PlatformInvalidRequestException malformed(String what, IOException cause) {
        return new PlatformInvalidRequestException(
                "the answer to the " + what + " is malformed", cause);
    }
}
