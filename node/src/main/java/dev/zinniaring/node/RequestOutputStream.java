package dev.zinniaring.node;

import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import org.jspecify.annotations.Nullable;

/** Writes the requests of a connection and replaces the targets in their request lines. */
final class RequestOutputStream extends FilterOutputStream {
    private @Nullable RequestTarget target;
    private Part part = Part.REST;

    /** What is written next. */
    private enum Part {
        METHOD,
        TARGET,
        REST
    }

    RequestOutputStream(OutputStream out) {
        super(out);
    }

    /** Begins a request; null leaves its target as it is written. */
    void begin(@Nullable RequestTarget requested) {
        target = requested;
        part = requested == null ? Part.REST : Part.METHOD;
    }

    @Override
    public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        RequestTarget replacement = target;
        if (part == Part.REST || replacement == null) {
            out.write(bytes, offset, length);
            return;
        }
        // One write, so that a request that fits one packet is sent in one.
        ByteArrayOutputStream replaced =
                new ByteArrayOutputStream(length + replacement.bytes().length);
        for (int i = offset; i < offset + length; i++) {
            replace(bytes[i], replacement, replaced);
        }
        out.write(replaced.toByteArray());
    }

    private void replace(byte next, RequestTarget replacement, ByteArrayOutputStream replaced) {
        boolean space = next == ' ';
        if (part == Part.METHOD && space) {
            part = Part.TARGET;
            replaced.write(next);
            replaced.writeBytes(replacement.bytes());
        } else if (part == Part.TARGET) {
            if (space) {
                part = Part.REST;
                replaced.write(next);
            }
        } else {
            replaced.write(next);
        }
    }
}
