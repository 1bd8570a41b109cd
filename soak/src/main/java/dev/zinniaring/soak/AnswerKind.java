package dev.zinniaring.soak;

import java.util.Locale;

/** How a backend server sends an answer, in the order of the bytes on its connection. */
enum AnswerKind {
    /** One whole answer. */
    PLAIN(true),
    /** A second copy in the same write. */
    COPY_AT_ONCE(true),
    /** A second copy up to 0.1 s later. */
    COPY_LATE(true),
    /** A second copy in the same write as the next answer on the connection, before it. */
    COPY_BEFORE_NEXT(true),
    /** A second copy whose first part follows at once and whose rest follows late. */
    COPY_SPLIT(true),
    /** A second answer of another status. */
    OTHER_STATUS(true),
    /** A second copy without the id of its call. */
    COPY_WITHOUT_ID(true),
    /** A failure without the id of its call, sent once. */
    FAILURE_WITHOUT_ID(true),
    /** A failure without the id of its call, sent twice. */
    FAILURE_WITHOUT_ID_TWICE(true),
    /** Bytes that are no answer after a whole one. */
    JUNK_AFTER(true),
    /** Ends in its head. */
    CUT_HEAD(false),
    /** Ends in its body, which has a length or is chunked. */
    CUT_BODY(false),
    /** Reset in its body. */
    RESET_BODY(false),
    /** A body without a length, reset after its last byte. */
    RESET_WITHOUT_LENGTH(false),
    /** A status line that is none. */
    SPOILT_STATUS_LINE(false),
    /** The name of the protocol in lower case, which is none. */
    LOWER_CASE_PROTOCOL(false),
    /** A version other than HTTP/1.x. */
    OTHER_VERSION(false),
    /** A status that is not three digits. */
    SPOILT_STATUS(false),
    /** A line between the headers that is none. */
    SPOILT_HEADER(false),
    /** A length that is no number, or two lengths. */
    SPOILT_LENGTH(false),
    /** A transfer coding other than chunked. */
    SPOILT_CODING(false),
    /** A chunk size that is no number. */
    SPOILT_CHUNK(false),
    /** A body with a content coding, which callers do not ask for. */
    ENCODED(false),
    /** The ids of two calls. */
    TWO_IDS(false),
    /** A status line that is none, and a whole copy in the same write. */
    SPOILT_THEN_COPY(false),
    /** Control bytes before the answer. */
    CONTROL_BYTES_BEFORE(false),
    /** Line ends before the answer. */
    LINE_ENDS_BEFORE(false),
    /** Text before the status line, in the same line. */
    TEXT_BEFORE(false),
    /** A line of text before the status line. */
    LINE_OF_TEXT_BEFORE(false);

    private final boolean proper;

    AnswerKind(boolean proper) {
        this.proper = proper;
    }

    /** Returns whether the first bytes sent are a whole answer. */
    boolean proper() {
        return proper;
    }

    /** Returns whether the answer lacks the id of its call, as only failures may. */
    boolean withoutId() {
        return this == FAILURE_WITHOUT_ID || this == FAILURE_WITHOUT_ID_TWICE;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
