package dev.zinniaring.distribution;

import dev.zinniaring.transport.Peer;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Answers other nodes where this node is a seed. Runs in the mailbox. */
final class SeedDesk {
    private final Context context;
    private final @Nullable SeedRegister register;
    private final String self;
    private final boolean soleSeed;

    SeedDesk(Context context, Seeds seeds, boolean ownSeed) {
        this.context = context;
        this.soleSeed = seeds.count() == 1;
        this.self = Seeds.name(context.network().self().controlAddress());
        if (ownSeed && !seeds.contains(self)) {
            throw new IllegalArgumentException("own seed " + self + " is not among the seeds");
        }
        this.register =
                ownSeed ? new SeedRegister(self, seeds, context.network().incarnation()) : null;
    }

    boolean isSelf(String seed) {
        return register != null && seed.equals(self);
    }

    boolean isSeed() {
        return register != null;
    }

    /** Returns whether this node is the mesh's only seed. */
    boolean isSoleSeed() {
        return register != null && soleSeed;
    }

    /** Returns whether this node is a seed whose answers do not count yet. */
    boolean unconfirmed() {
        return register != null && !register.confirmed();
    }

    Optional<RecordAck> record(RecordRequest request) {
        return register == null ? Optional.empty() : Optional.of(register.record(request));
    }

    Optional<MarkReply> answer(MarkQuery query) {
        return register == null ? Optional.empty() : Optional.of(register.answer(query));
    }

    void readHead(long number) {
        if (register != null) {
            register.readHead(number);
        }
    }

    void heard(String seed, MarkReply reply) {
        if (register != null) {
            register.heard(seed, reply);
        }
    }

    void onRecord(Peer from, RecordRequest request) {
        record(request).ifPresent(ack -> context.network().send(from, ack));
    }

    void onQuery(Peer from, MarkQuery query) {
        answer(query).ifPresent(reply -> context.network().datagram(from, reply));
    }

    long mark() {
        return register == null ? 0 : register.mark();
    }

    boolean confirmed() {
        return register != null && register.confirmed();
    }
}
