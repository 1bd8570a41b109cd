package dev.zinniaring.transport;

/** Asks whether a link still carries frames, or answers that it does. */
record LinkCheck(boolean answer) implements Message {
    static final MessageCodec<LinkCheck> CODEC =
            MessageCodec.of(
                    -1,
                    LinkCheck.class,
                    MessageCodec.Overflow.DROP_OLDEST,
                    (check, out) -> out.packBoolean(check.answer),
                    in -> new LinkCheck(in.unpackBoolean()));
}
