package dev.zinniaring.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** A message type for tests. */
record Note(long number, String text, byte[] body) implements Message {
    static final int MAX_BYTES = 1024 * 1024;

    static final MessageCodec<Note> CODEC = codec(100, MessageCodec.Overflow.FAIL_LINK);

    static Note of(long number) {
        return new Note(number, "n" + number, new byte[0]);
    }

    static MessageCodec<Note> codec(int type, MessageCodec.Overflow overflow) {
        return new MessageCodec<>() {
            @Override
            public int type() {
                return type;
            }

            @Override
            public Class<Note> messageClass() {
                return Note.class;
            }

            @Override
            public void write(Note note, MessagePacker out) throws IOException {
                out.packLong(note.number);
                out.packString(note.text);
                Fields.bytes(out, note.body);
            }

            @Override
            public Note read(MessageUnpacker in) throws IOException {
                return new Note(
                        in.unpackLong(), Fields.text(in, MAX_BYTES), Fields.bytes(in, MAX_BYTES));
            }

            @Override
            public Overflow overflow() {
                return overflow;
            }
        };
    }
}
