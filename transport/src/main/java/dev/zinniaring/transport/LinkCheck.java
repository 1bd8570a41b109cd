package dev.zinniaring.transport;

/** A keep-alive probe of a link, or the answer to one. */
record LinkCheck(boolean answer) implements Message {
    static final MessageCodec<LinkCheck> CODEC =
            MessageCodec.of(
                    -1,
                    LinkCheck.class,
                    MessageCodec.Overflow.DROP_OLDEST,
                    (check, out) -> out.packBoolean(check.answer),
                    in -> new LinkCheck(in.unpackBoolean()));
}
