package dev.zinniaring.node;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageUnpacker;

/** Messages by which nodes learn where others serve their admin pages. */
final class AdminMessages {
    private static final int MAX_ADDRESS_BYTES = 64;

    private AdminMessages() {}

    /** Asks a node for its admin address. */
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
     * Tells a node's admin address.
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
            throw new IOException("an address of " + length + " bytes");
        }
        return new String(in.readPayload(length), StandardCharsets.UTF_8);
    }
}
