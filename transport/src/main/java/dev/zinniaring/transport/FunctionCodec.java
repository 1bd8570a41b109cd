package dev.zinniaring.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** A codec that delegates to two functions. */
record FunctionCodec<M extends Message>(
        int type,
        Class<M> messageClass,
        MessageCodec.Overflow overflow,
        MessageCodec.Writer<M> writer,
        MessageCodec.Reader<M> reader)
        implements MessageCodec<M> {
    @Override
    public void write(M message, MessagePacker out) throws IOException {
        writer.write(message, out);
    }

    @Override
    public M read(MessageUnpacker in) throws IOException {
        return reader.read(in);
    }
}
