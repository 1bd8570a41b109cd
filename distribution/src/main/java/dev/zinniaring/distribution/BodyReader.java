package dev.zinniaring.distribution;

import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.TablesDelta;
import dev.zinniaring.publish.Head;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the canonical bytes of a version from the platform. Blocks the calling thread. */
interface BodyReader {
    /**
     * Returns the canonical bytes of the head's version, verified against its hash.
     *
     * @param held the version that this node holds, or null if it holds none
     */
    byte[] read(VersionSource source, Head head, @Nullable HeldVersion held)
            throws PublishException;

    /** Returns a reader that always fetches the complete body. */
    static BodyReader fullBody() {
        return (source, head, held) -> source.body(head.hash());
    }

    /** Returns a reader that tries the delta from the held version first, which is much smaller. */
    static BodyReader deltaFirst() {
        return new DeltaFirst();
    }

    /** Fetches the complete body if there is no delta or if it does not apply. */
    final class DeltaFirst implements BodyReader {
        private static final Logger log = LoggerFactory.getLogger(DeltaFirst.class);

        private DeltaFirst() {}

        @Override
        public byte[] read(VersionSource source, Head head, @Nullable HeldVersion held)
                throws PublishException {
            if (held != null) {
                Optional<byte[]> delta = source.delta(held.hash(), head.hash());
                if (delta.isPresent()) {
                    byte[] body = applyDelta(held, delta.get(), head.hash());
                    if (body != null) {
                        return body;
                    }
                }
            }
            return source.body(head.hash());
        }

        private static byte @Nullable [] applyDelta(HeldVersion held, byte[] delta, String hash) {
            try {
                return TablesDelta.apply(held.version().tables(), delta, hash);
            } catch (InvalidTablesException e) {
                log.debug("cannot apply delta to version with hash {}: {}", hash, e.getMessage());
                return null;
            }
        }
    }
}
