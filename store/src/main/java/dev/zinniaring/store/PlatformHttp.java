package dev.zinniaring.store;

import dev.zinniaring.kernel.Clock;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * Sends requests to the platform over HTTP, with timeouts and a bounded number of retries. Shared
 * by the clients of both services. Thread-safe.
 *
 * <pre>{@code
 * try (PlatformHttp http = PlatformHttp.builder().timeout(Duration.ofSeconds(2)).build()) {
 *     TableService tables = new HttpTableService(http, "http://10.0.0.9:8700/table");
 *     ObjectStore objects = new HttpObjectStore(http, "http://10.0.0.9:8700/objects");
 * }
 * }</pre>
 */
public final class PlatformHttp implements AutoCloseable {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final OkHttpClient client;
    private final int attempts;
    private final Duration totalTimeout;
    private final int maxResponseBytes;
    private final Backoff backoff;
    private final Clock clock;
    private final Pause pause;
    private final RequestObserver observer;

    private PlatformHttp(Builder builder) {
        this.attempts = builder.attempts;
        this.totalTimeout = builder.timeout.multipliedBy(builder.attempts);
        this.maxResponseBytes = builder.maxAnswerBytes;
        this.backoff = new Backoff(builder.backoffBase, builder.backoffMax, builder.random);
        this.clock = builder.clock;
        this.pause = builder.pause;
        this.observer = builder.observer;
        this.client = client(builder.timeout);
    }

    private static OkHttpClient client(Duration timeout) {
        return new OkHttpClient.Builder()
                .callTimeout(timeout)
                .connectTimeout(timeout)
                .readTimeout(timeout)
                .writeTimeout(timeout)
                // send() retries instead, because it knows whether the request is a write.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .proxy(Proxy.NO_PROXY)
                .protocols(List.of(Protocol.HTTP_1_1))
                .eventListenerFactory(
                        call -> {
                            CallTrace trace = call.request().tag(CallTrace.class);
                            return trace == null ? EventListener.NONE : trace;
                        })
                .build();
    }

    /** Returns a builder with default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Closes idle connections and shuts down the dispatcher. */
    @Override
    public void close() {
        client.connectionPool().evictAll();
        client.dispatcher().executorService().shutdown();
    }

    /**
     * A completely read response with status 200, 204 or 304, or with status 404 and the {@link
     * PlatformWire#ABSENCE_HEADER}.
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record BufferedResponse(int status, String etag, byte[] body) {
        boolean absent() {
            return status == NOT_FOUND;
        }

        boolean unchanged() {
            return status == NOT_MODIFIED;
        }
    }

    static HttpUrl baseUrl(String url) {
        HttpUrl parsed = HttpUrl.parse(url);
        if (parsed == null) {
            throw new IllegalArgumentException("url must be an HTTP URL, was " + url);
        }
        return parsed;
    }

    /**
     * Sends a request, retrying transient failures until the attempts or the total timeout are used
     * up.
     *
     * @throws PlatformOutcomeUnknownException if any attempt of a write may have taken effect
     */
    BufferedResponse send(RequestKind kind, Request request) throws PlatformException {
        long startNanos = clock.nanos();
        boolean mayHaveTakenEffect = false;
        for (int attempt = 1; ; attempt++) {
            try {
                return sendOnce(kind, request);
            } catch (PlatformException e) {
                mayHaveTakenEffect |= e instanceof PlatformOutcomeUnknownException;
                boolean last =
                        attempt == attempts
                                || e instanceof PlatformInvalidRequestException
                                || clock.since(startNanos).compareTo(totalTimeout) >= 0;
                if (last || !backOff(attempt)) {
                    throw mayHaveTakenEffect ? outcomeUnknown(e) : e;
                }
            }
        }
    }

    /** Waits before the next attempt; returns false if the thread was interrupted. */
    private boolean backOff(int attempt) {
        try {
            pause.pause(backoff.afterAttempt(attempt));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Reports an unknown outcome: an earlier attempt may have taken effect, whatever the last did.
     */
    private static PlatformException outcomeUnknown(PlatformException last) {
        return last instanceof PlatformOutcomeUnknownException
                ? last
                : new PlatformOutcomeUnknownException(String.valueOf(last.getMessage()), last);
    }

    private BufferedResponse sendOnce(RequestKind kind, Request request) throws PlatformException {
        CallTrace trace = new CallTrace();
        Request traced = request.newBuilder().tag(CallTrace.class, trace).build();
        try (Response response = client.newCall(traced).execute()) {
            return read(kind, request, response);
        } catch (IOException e) {
            String message = describe(request) + " failed: " + e.getMessage();
            throw kind.isWrite() && trace.sent()
                    ? new PlatformOutcomeUnknownException(message, e)
                    : new PlatformUnavailableException(message, e);
        } finally {
            observer.requested(kind, trace.sentBytes(), trace.receivedBytes());
        }
    }

    private BufferedResponse read(RequestKind kind, Request request, Response response)
            throws PlatformException, IOException {
        int status = response.code();
        byte[] body = readBounded(response, maxResponseBytes);
        boolean absent = PlatformWire.ABSENT.equals(response.header(PlatformWire.ABSENCE_HEADER));
        if (status == OK
                || status == NO_CONTENT
                || status == NOT_MODIFIED
                || (status == NOT_FOUND && absent)) {
            return new BufferedResponse(status, response.header("ETag", ""), body);
        }
        throw errorOf(kind, status, describe(request) + " returned status " + status);
    }

    private static PlatformException errorOf(RequestKind kind, int status, String message) {
        if (status == TOO_MANY_REQUESTS) {
            return new PlatformThrottledException(message);
        }
        if (status == UNAVAILABLE) {
            return new PlatformUnavailableException(message);
        }
        if (status < SERVER_ERROR && status != REQUEST_TIMEOUT) {
            return new PlatformInvalidRequestException(message);
        }
        return kind.isWrite()
                ? new PlatformOutcomeUnknownException(message)
                : new PlatformUnavailableException(message);
    }

    private static byte[] readBounded(Response response, int maxBytes) throws IOException {
        ResponseBody body = response.body();
        if (body.source().request(maxBytes + 1L)) {
            throw new IOException("the response is larger than " + maxBytes + " bytes");
        }
        return body.bytes();
    }

    private static String describe(Request request) {
        return request.method() + " " + request.url();
    }

    /** Builds a client; every setting has a default. */
    public static final class Builder {
        private static final int MAX_ATTEMPTS = 10;
        // Sufficient for the largest scan: 1,000 rows as the mesh writes them, far below 64 KiB
        // each.
        private static final int DEFAULT_MAX_ANSWER_BYTES = 2 * PlatformLimits.MAX_OBJECT_BYTES;

        private Duration timeout = Duration.ofSeconds(2);
        private int attempts = 3;
        private Duration backoffBase = Duration.ofMillis(50);
        private Duration backoffMax = Duration.ofSeconds(1);
        private int maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES;
        private RandomGenerator random = RandomGenerator.getDefault();
        private Clock clock = Clock.system();
        private Pause pause = Pause.blocking();
        private RequestObserver observer = RequestObserver.NONE;

        private Builder() {}

        /** Sets the timeout of one attempt. The total timeout is this times the attempts. */
        public Builder timeout(Duration timeout) {
            this.timeout = positive("timeout", timeout);
            return this;
        }

        /** Sets the maximum number of attempts of a request, from 1 to 10. */
        public Builder attempts(int attempts) {
            if (attempts < 1 || attempts > MAX_ATTEMPTS) {
                throw new IllegalArgumentException(
                        "attempts must be from 1 to " + MAX_ATTEMPTS + ", was " + attempts);
            }
            this.attempts = attempts;
            return this;
        }

        /** Sets the upper bound of the first delay between attempts, and of any delay. */
        public Builder backoff(Duration base, Duration max) {
            this.backoffBase = positive("base", base);
            this.backoffMax = positive("max", max);
            return this;
        }

        /** Sets the maximum size of a response body, in bytes. */
        public Builder maxAnswerBytes(int maxAnswerBytes) {
            if (maxAnswerBytes < 1) {
                throw new IllegalArgumentException(
                        "maxAnswerBytes must be at least 1, was " + maxAnswerBytes);
            }
            this.maxAnswerBytes = maxAnswerBytes;
            return this;
        }

        /** Sets the random generator of the backoff's jitter. */
        public Builder random(RandomGenerator random) {
            this.random = random;
            return this;
        }

        /** Sets the clock of the total timeout and the pause that waits between attempts. */
        public Builder timing(Clock clock, Pause pause) {
            this.clock = clock;
            this.pause = pause;
            return this;
        }

        /** Sets the observer that is notified of each attempt. */
        public Builder observer(RequestObserver observer) {
            this.observer = observer;
            return this;
        }

        /** Returns the client. */
        public PlatformHttp build() {
            return new PlatformHttp(this);
        }

        private static Duration positive(String name, Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException(name + " must be positive, was " + value);
            }
            return value;
        }
    }
}
