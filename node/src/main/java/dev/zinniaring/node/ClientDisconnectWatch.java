package dev.zinniaring.node;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a client closed its connection while its call runs. Jetty does not read from an
 * HTTP/1.1 connection between the end of a request and the end of its response, and would notice
 * the close only when it writes.
 *
 * <p>Must be started after the whole request was read, and stopped before the response is written,
 * both from any thread. Starting costs a round of the selector, so that only long-running calls are
 * watched.
 *
 * <p>The watch consumes the first byte of a pipelined request; the connection is then closed after
 * the response, so that no request is misread.
 */
final class ClientDisconnectWatch {
    private static final IOException STOPPED = new IOException("client watch stopped");

    private final Cancellation cancellation;
    private final AtomicBoolean pipelined = new AtomicBoolean();
    private final Readable readable = new Readable();
    private final AbstractEndPoint endPoint;
    private boolean started;
    private boolean ended;

    ClientDisconnectWatch(AbstractEndPoint endPoint, Cancellation cancellation) {
        this.endPoint = endPoint;
        this.cancellation = cancellation;
    }

    static ClientDisconnectWatch of(Request request, Cancellation cancellation) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint instanceof AbstractEndPoint known) {
            return new ClientDisconnectWatch(known, cancellation);
        }
        throw new IllegalStateException("unsupported type of connection: " + endPoint);
    }

    synchronized void start() {
        if (!started && !ended) {
            started = true;
            listen();
        }
    }

    private void listen() {
        try {
            endPoint.tryFillInterested(readable);
        } catch (ReadPendingException e) {
            // Jetty is reading from the connection and will detect the close itself.
            started = false;
        }
    }

    private synchronized void listenAgain() {
        if (started && !ended) {
            listen();
        }
    }

    /** Stops watching; returns whether the connection must be closed after the response. */
    synchronized boolean stop() {
        ended = true;
        if (started) {
            started = false;
            readable.stopped = true;
            endPoint.getFillInterest().onFail(STOPPED);
        }
        return pipelined.get();
    }

    private final class Readable implements Callback {
        private volatile boolean stopped;

        @Override
        public void succeeded() {
            synchronized (ClientDisconnectWatch.this) {
                // A byte that is read after the stop would be missing from the next request.
                if (!stopped) {
                    read();
                }
            }
        }

        private void read() {
            try {
                ByteBuffer one = BufferUtil.allocate(1);
                int count = endPoint.fill(one);
                if (count < 0) {
                    throw new EOFException("client closed the connection");
                }
                if (count > 0) {
                    pipelined.set(true);
                } else {
                    listen();
                }
            } catch (IOException e) {
                cancellation.cancel();
            }
        }

        @Override
        public void failed(Throwable cause) {
            if (stopped || cause == STOPPED) {
                return;
            }
            if (cause instanceof TimeoutException) {
                // The connection is idle because its caller waits for the answer.
                listenAgain();
            } else {
                cancellation.cancel();
            }
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
