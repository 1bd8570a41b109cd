package dev.zinniaring.distribution;

import dev.zinniaring.transport.Peer;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Handles the requests of other nodes if this node is a seed. Runs in the mailbox. */
final class LocalSeed {
    private final Context context;
    private final @Nullable SeedState state;
    private final String self;
    private final boolean soleSeed;

    LocalSeed(Context context, Seeds seeds, boolean ownSeed) {
        this.context = context;
        this.soleSeed = seeds.count() == 1;
        this.self = Seeds.name(context.network().self().controlAddress());
        if (ownSeed && !seeds.contains(self)) {
            throw new IllegalArgumentException(
                    "this node is a seed but its address " + self + " is not among the seeds");
        }
        this.state = ownSeed ? new SeedState(self, seeds, context.network().incarnation()) : null;
    }

    boolean isSelf(String seed) {
        return state != null && seed.equals(self);
    }

    boolean isSeed() {
        return state != null;
    }

    /** Returns whether this node is the only seed of the mesh. */
    boolean isSoleSeed() {
        return state != null && soleSeed;
    }

    /** Returns whether this node is a seed whose answers do not count yet. */
    boolean unconfirmed() {
        return state != null && !state.confirmed();
    }

    Optional<RecordAck> record(RecordRequest request) {
        return state == null ? Optional.empty() : Optional.of(state.record(request));
    }

    Optional<MarkReply> answer(MarkQuery query) {
        return state == null ? Optional.empty() : Optional.of(state.answer(query));
    }

    void readHead(long number) {
        if (state != null) {
            state.readHead(number);
        }
    }

    void addReply(String seed, MarkReply reply) {
        if (state != null) {
            state.addReply(seed, reply);
        }
    }

    void onRecord(Peer from, RecordRequest request) {
        record(request).ifPresent(ack -> context.network().send(from, ack));
    }

    void onQuery(Peer from, MarkQuery query) {
        answer(query).ifPresent(reply -> context.network().sendDatagram(from, reply));
    }

    long mark() {
        return state == null ? 0 : state.mark();
    }

    boolean confirmed() {
        return state != null && state.confirmed();
    }
}
