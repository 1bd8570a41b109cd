package dev.zinniaring.store;

import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * Client of the platform's object store, over the HTTP protocol described in {@link PlatformWire}.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");

    private final PlatformHttp http;
    private final HttpUrl baseUrl;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param url base URL of the object store, such as {@code http://10.0.0.9:8700/objects}
     * @throws IllegalArgumentException if {@code url} is not an HTTP URL
     */
    public HttpObjectStore(PlatformHttp http, String url) {
        this.http = http;
        this.baseUrl = PlatformHttp.baseUrl(url);
    }

    @Override
    public void put(String key, byte[] body) throws PlatformException {
        PlatformLimits.checkObject(key, body);
        Request request =
                new Request.Builder().url(url(key)).put(RequestBody.create(body, BYTES)).build();
        http.send(RequestKind.PUT_OBJECT, request);
    }

    @Override
    public Optional<byte[]> get(String key) throws PlatformException {
        PlatformLimits.checkKey(key);
        Request request = new Request.Builder().url(url(key)).build();
        PlatformHttp.BufferedResponse response = http.send(RequestKind.GET_OBJECT, request);
        return response.absent() ? Optional.empty() : Optional.of(response.body());
    }

    private HttpUrl url(String key) {
        return baseUrl.newBuilder().addPathSegment("object").addQueryParameter("key", key).build();
    }
}
