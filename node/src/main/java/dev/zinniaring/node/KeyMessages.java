package dev.zinniaring.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.zinniaring.admission.KeyAnswer;
import dev.zinniaring.admission.StoredAnswer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Messages between entry nodes and the home nodes of idempotency keys, as JSON. */
final class KeyMessages {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private KeyMessages() {}

    /**
     * A request to the home of a key.
     *
     * @param service service of the call
     * @param key the caller's idempotency key
     * @param fingerprint hash of the request
     * @param resend whether the caller declares the call as a resend
     * @param run number of the run that ended; 0 at the beginning of a call
     * @param end how the call ended; null at the beginning of a call
     * @param answer response of a call that ran, if it is small enough to be stored
     */
    record KeyRequest(
            String service,
            String key,
            long fingerprint,
            boolean resend,
            long run,
            @Nullable Outcome end,
            @Nullable Stored answer) {
        KeyRequest endReport(long endedRun, Outcome outcome, Optional<StoredAnswer> stored) {
            return new KeyRequest(
                    service,
                    key,
                    fingerprint,
                    resend,
                    endedRun,
                    outcome,
                    stored.map(Stored::of).orElse(null));
        }
    }

    /** The home's reply: the state of a key. */
    record KeyReply(KeyAnswer.State state, long run, @Nullable Stored answer) {
        /** The reply to the report of the end of a call. */
        static final KeyReply ACKNOWLEDGED = new KeyReply(KeyAnswer.State.DONE, 0, null);

        static KeyReply of(KeyAnswer known) {
            return new KeyReply(
                    known.state(), known.run(), known.answer().map(Stored::of).orElse(null));
        }

        KeyAnswer toKeyAnswer() {
            return new KeyAnswer(state, run, Optional.ofNullable(answer).map(Stored::toAnswer));
        }
    }

    /** A stored response. */
    record Stored(int status, Map<String, List<String>> headers, byte[] body) {
        static Stored of(StoredAnswer answer) {
            return new Stored(answer.status(), answer.headers(), answer.body());
        }

        StoredAnswer toAnswer() {
            return new StoredAnswer(status, headers, body);
        }
    }

    static byte[] write(Record message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize a key message", e);
        }
    }

    static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }
}
