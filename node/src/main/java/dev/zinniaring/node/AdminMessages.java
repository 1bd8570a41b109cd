package dev.zinniaring.node;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageUnpacker;

/** Messages for the exchange of admin addresses between nodes. */
final class AdminMessages {
    private static final int MAX_ADDRESS_BYTES = 64;

    private AdminMessages() {}

    /** A query for the admin address of a node. */
    record AdminQuery() implements Message {
        static final MessageCodec<AdminQuery> CODEC =
                MessageCodec.of(
                        61,
                        AdminQuery.class,
                        MessageCodec.Overflow.DROP_OLDEST,
                        (query, out) -> {},
                        in -> new AdminQuery());
    }

    /**
     * The answer to an {@link AdminQuery}.
     *
     * @param address in the form {@code ip:port}
     */
    record AdminAnswer(String address) implements Message {
        static final MessageCodec<AdminAnswer> CODEC =
                MessageCodec.of(
                        62,
                        AdminAnswer.class,
                        MessageCodec.Overflow.DROP_OLDEST,
                        (answer, out) -> out.packString(answer.address),
                        in -> new AdminAnswer(text(in)));
    }

    private static String text(MessageUnpacker in) throws IOException {
        int length = in.unpackRawStringHeader();
        if (length > MAX_ADDRESS_BYTES) {
            throw new IOException("admin address too long: " + length + " bytes");
        }
        return new String(in.readPayload(length), StandardCharsets.UTF_8);
    }
}
