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
 * Sends requests to the platform over HTTP, with timeouts and bounded repeats. Shared by the
 * clients of both services; safe for use by several threads.
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
    private final int maxAnswerBytes;
    private final Backoff backoff;
    private final Clock clock;
    private final Pause pause;
    private final RequestObserver observer;

    private PlatformHttp(Builder builder) {
        this.attempts = builder.attempts;
        this.totalTimeout = builder.timeout.multipliedBy(builder.attempts);
        this.maxAnswerBytes = builder.maxAnswerBytes;
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
                // Repeats are decided here, where the request's kind is known.
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

    /** Starts the description of a client. */
    public static Builder builder() {
        return new Builder();
    }

    /** Closes idle connections. */
    @Override
    public void close() {
        client.connectionPool().evictAll();
        client.dispatcher().executorService().shutdown();
    }

    /** A whole answer whose status is one of 200, 204, 304 and 404 with the mark of absence. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Answer(int status, String etag, byte[] body) {
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
            throw new IllegalArgumentException("url must be an HTTP address, was " + url);
        }
        return parsed;
    }

    Answer send(RequestKind kind, Request request) throws PlatformException {
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
                if (last || !waitAfter(attempt)) {
                    throw mayHaveTakenEffect ? unknown(e) : e;
                }
            }
        }
    }

    private boolean waitAfter(int attempt) {
        try {
            pause.pause(backoff.afterAttempt(attempt));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** An earlier attempt may have taken effect, whatever became of the last. */
    private static PlatformException unknown(PlatformException last) {
        return last instanceof PlatformOutcomeUnknownException
                ? last
                : new PlatformOutcomeUnknownException(String.valueOf(last.getMessage()), last);
    }

    private Answer sendOnce(RequestKind kind, Request request) throws PlatformException {
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

    private Answer read(RequestKind kind, Request request, Response response)
            throws PlatformException, IOException {
        int status = response.code();
        byte[] body = readBounded(response, maxAnswerBytes);
        boolean absent = PlatformWire.ABSENT.equals(response.header(PlatformWire.ABSENCE_HEADER));
        if (status == OK
                || status == NO_CONTENT
                || status == NOT_MODIFIED
                || (status == NOT_FOUND && absent)) {
            return new Answer(status, response.header("ETag", ""), body);
        }
        throw refusal(kind, status, describe(request) + " was answered with status " + status);
    }

    private static PlatformException refusal(RequestKind kind, int status, String message) {
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
            throw new IOException("the answer has more than " + maxBytes + " bytes");
        }
        return body.bytes();
    }

    private static String describe(Request request) {
        return request.method() + " " + request.url();
    }

    /** Collects the parts of a client; each has a default. */
    public static final class Builder {
        private static final int MAX_ATTEMPTS = 10;
        // Room for the largest scan: 1,000 rows of the mesh's own size, far below 64 KiB each.
        private static final int DEFAULT_MAX_ANSWER_BYTES = 2 * PlatformBounds.MAX_OBJECT_BYTES;

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

        /** Sets the longest time of one attempt. */
        public Builder timeout(Duration timeout) {
            this.timeout = positive("timeout", timeout);
            return this;
        }

        /** Sets how often a request is sent at most, from 1 to 10. */
        public Builder attempts(int attempts) {
            if (attempts < 1 || attempts > MAX_ATTEMPTS) {
                throw new IllegalArgumentException(
                        "attempts must be from 1 to " + MAX_ATTEMPTS + ", was " + attempts);
            }
            this.attempts = attempts;
            return this;
        }

        /** Sets the bound of the first wait between attempts, and the highest bound. */
        public Builder backoff(Duration base, Duration max) {
            this.backoffBase = positive("base", base);
            this.backoffMax = positive("max", max);
            return this;
        }

        /** Sets the largest answer that is read, in bytes. */
        public Builder maxAnswerBytes(int maxAnswerBytes) {
            if (maxAnswerBytes < 1) {
                throw new IllegalArgumentException(
                        "maxAnswerBytes must be at least 1, was " + maxAnswerBytes);
            }
            this.maxAnswerBytes = maxAnswerBytes;
            return this;
        }

        /** Sets the source of the jitter. */
        public Builder random(RandomGenerator random) {
            this.random = random;
            return this;
        }

        /** Sets the clock and the pause that the waits between attempts use. */
        public Builder timing(Clock clock, Pause pause) {
            this.clock = clock;
            this.pause = pause;
            return this;
        }

        /** Sets who is told of each request. */
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
