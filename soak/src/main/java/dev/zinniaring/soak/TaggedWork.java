package dev.zinniaring.soak;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.platform.PlatformHeaders;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The work of a backend server on one request, as {@link Stutter} draws it. It may need calls to
 * other servers, which are made one after the other through the server's own node, under the id of
 * the request with a suffix; another run of the request makes them under the same ids. Confined to
 * the event loop of the servers.
 */
final class TaggedWork {
    private static final HeaderNames NAMES = PlatformHeaders.names();
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int TIMEOUT = 504;

    private final Stutter stutter;
    private final EventLoopGroup loop;
    private final Observations observations;
    private final Origin origin;
    private final String callId;
    private final Consumer<Answer> done;
    private final int leftMillis;
    private final long deadlineMillis;
    private final Stutter.Work work;
    private TaggedCalls.@Nullable Handle call;
    private boolean cancelled;

    /**
     * Where a request runs.
     *
     * @param index index of the node that the server's own calls go through
     * @param node address of that node
     * @param run name of the run
     */
    record Origin(int index, InetSocketAddress node, String run) {}

    /**
     * Draws the work.
     *
     * @param request headers of the request
     * @param done receives the answer unless the work is cancelled
     */
    TaggedWork(
            Stutter stutter,
            EventLoopGroup loop,
            Observations observations,
            Origin origin,
            HttpHeaders request,
            Consumer<Answer> done) {
        this.stutter = stutter;
        this.loop = loop;
        this.observations = observations;
        this.origin = origin;
        this.done = done;
        callId = request.get(NAMES.callId(), "");
        leftMillis = request.getInt(NAMES.deadlineMillis(), 0);
        deadlineMillis = observations.nowMillis() + leftMillis;
        work = stutter.work(callId.contains("."), leftMillis);
    }

    /**
     * Begins the work, which ends at the deadline at the latest.
     *
     * @param factor factor by which it takes longer than drawn
     * @param fails whether the server fails the request
     */
    void begin(int factor, boolean fails) {
        long millis = work.millis() * factor;
        if (millis > leftMillis) {
            loop.schedule(() -> proceed(0, TIMEOUT), leftMillis, TimeUnit.MILLISECONDS);
        } else {
            int status = fails ? FAILURE : work.status();
            loop.schedule(() -> proceed(work.calls(), status), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops the work and the call that it waits for. */
    void cancel() {
        cancelled = true;
        TaggedCalls.Handle made = call;
        if (made != null) {
            made.cancel();
        }
    }

    private void proceed(int callsLeft, int status) {
        long timeLeftMillis = deadlineMillis - observations.nowMillis();
        if (cancelled) {
            return;
        }
        if (callsLeft == 0) {
            answer(status);
        } else if (timeLeftMillis <= 0) {
            answer(TIMEOUT);
        } else {
            TaggedCalls.Target target =
                    new TaggedCalls.Target(
                            origin.index(),
                            origin.node(),
                            callsLeft % 2 == 0 ? Route.LOOKUP : Route.MOVING,
                            callId + "." + Integer.toHexString((callId + callsLeft).hashCode()),
                            timeLeftMillis,
                            true);
            call =
                    stutter.calls()
                            .send(
                                    target,
                                    got -> loop.execute(() -> called(got, callsLeft, status)));
        }
    }

    private void called(int got, int callsLeft, int status) {
        call = null;
        if (cancelled) {
            return;
        }
        if (got == OK) {
            proceed(callsLeft - 1, status);
        } else {
            answer(observations.nowMillis() < deadlineMillis ? FAILURE : TIMEOUT);
        }
    }

    private void answer(int status) {
        Answer answer = Answer.bytes(status, stutter.body(origin.run()));
        answer.headers().set(NAMES.callId(), callId);
        answer.headers().set(RunTag.HEADER, new RunTag(origin.run(), status).toString());
        done.accept(answer);
    }
}
