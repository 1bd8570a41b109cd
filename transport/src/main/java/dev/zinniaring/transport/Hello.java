package dev.zinniaring.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Identifies the sender. It is the first frame in each direction of a link and the start of each
 * datagram.
 */
record Hello(int protocol, String mesh, Peer peer, long incarnation) implements Message {
    static final int TYPE = 0;
    static final int PROTOCOL = 1;

    /** Reads a Hello message that is followed by another message. */
    static Hello readPrefix(MessageUnpacker in) throws IOException {
        in.unpackArrayHeader();
        int type = in.unpackInt();
        if (type != TYPE) {
            throw new IOException("expected a Hello message, got message type " + type);
        }
        return CODEC.read(in);
    }

    static final MessageCodec<Hello> CODEC =
            new MessageCodec<>() {
                @Override
                public int type() {
                    return TYPE;
                }

                @Override
                public Class<Hello> messageClass() {
                    return Hello.class;
                }

                @Override
                public void write(Hello hello, MessagePacker out) throws IOException {
                    out.packInt(hello.protocol);
                    out.packString(hello.mesh);
                    Fields.peer(out, hello.peer);
                    out.packLong(hello.incarnation);
                }

                @Override
                public Hello read(MessageUnpacker in) throws IOException {
                    return new Hello(
                            in.unpackInt(), Fields.name(in), Fields.peer(in), in.unpackLong());
                }
            };
}
