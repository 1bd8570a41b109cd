package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Reads ahead of the decoder of an inbound connection. The end of a connection is only seen by
 * reading from it, so reading goes on while the decoder is paused, into a buffer of bounded size.
 * If the buffer is full, the client has to wait.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** Buffered bytes beyond which nothing is read while the decoder is paused. */
    static final int MAX_BYTES = 16 * 1024;

    /** Memory for a buffer besides its bytes. */
    private static final int BUFFER_OVERHEAD_BYTES = 64;

    private final Runnable bytesArrived;
    private final Deque<ByteBuf> buffered = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private long bufferedBytes;
    private boolean paused;
    private boolean passingOn;

    /**
     * Creates a buffer in front of the decoder.
     *
     * @param bytesArrived is run before bytes are passed on to the decoder
     */
    ReadAhead(Runnable bytesArrived) {
        this.bytesArrived = bytesArrived;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        dropBuffered();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        dropBuffered();
        closed.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (message instanceof ByteBuf bytes && (paused || !buffered.isEmpty())) {
            buffer(bytes);
            updateAutoRead(from);
        } else {
            passOn(from, message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext read) {
        if (buffered.isEmpty()) {
            read.fireChannelReadComplete();
        }
    }

    /** Keeps a copy, since the buffer of a short read may be much larger than what was read. */
    private void buffer(ByteBuf bytes) {
        ByteBuf copy = Unpooled.copiedBuffer(bytes);
        bytes.release();
        buffered.add(copy);
        bufferedBytes += copy.readableBytes() + BUFFER_OVERHEAD_BYTES;
    }

    private void passOn(ChannelHandlerContext to, Object message) {
        bytesArrived.run();
        to.fireChannelRead(message);
    }

    /** Returns whether the decoder gets no bytes for now. */
    boolean paused() {
        return paused;
    }

    /** Stops passing bytes on to the decoder, or passes on what was buffered and continues. */
    void pause(boolean wait) {
        ChannelHandlerContext open = context;
        if (paused == wait || open == null) {
            return;
        }
        paused = wait;
        if (!wait && !passingOn && !buffered.isEmpty()) {
            passingOn = true;
            // The decoder must not be entered again while it passes on a request.
            open.executor().execute(() -> passBufferedOn(open));
        }
    }

    private void passBufferedOn(ChannelHandlerContext to) {
        while (!paused && !buffered.isEmpty()) {
            ByteBuf bytes = buffered.remove();
            bufferedBytes -= bytes.readableBytes() + BUFFER_OVERHEAD_BYTES;
            passOn(to, bytes);
            to.fireChannelReadComplete();
        }
        passingOn = false;
        updateAutoRead(to);
    }

    private void updateAutoRead(ChannelHandlerContext open) {
        open.channel().config().setAutoRead(bufferedBytes < MAX_BYTES);
    }

    private void dropBuffered() {
        buffered.forEach(ByteBuf::release);
        buffered.clear();
        bufferedBytes = 0;
    }
}
