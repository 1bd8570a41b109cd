package dev.zinniaring.distribution;

import dev.zinniaring.model.ModelException;
import dev.zinniaring.model.TablesDelta;
import dev.zinniaring.publish.Head;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the canonical bytes of a version from the platform; blocks. */
interface BodyReader {
    /**
     * Returns the bytes that the head names, verified by hash.
     *
     * @param held what this node holds, null for nothing
     */
    byte[] read(VersionSource source, Head head, @Nullable HeldVersion held)
            throws PublishException;

    /** Returns a reader that always reads the whole body. */
    static BodyReader whole() {
        return (source, head, held) -> source.body(head.hash());
    }

    /** Returns a reader that tries the delta from what is held, which is much smaller. */
    static BodyReader deltaFirst() {
        return new DeltaFirst();
    }

    /** Falls back to the whole body if there is no delta or it does not apply. */
    final class DeltaFirst implements BodyReader {
        private static final Logger log = LoggerFactory.getLogger(DeltaFirst.class);

        private DeltaFirst() {}

        @Override
        public byte[] read(VersionSource source, Head head, @Nullable HeldVersion held)
                throws PublishException {
            if (held != null) {
                Optional<byte[]> delta = source.delta(held.hash(), head.hash());
                if (delta.isPresent()) {
                    byte[] body = applied(held, delta.get(), head.hash());
                    if (body != null) {
                        return body;
                    }
                }
            }
            return source.body(head.hash());
        }

        private static byte @Nullable [] applied(HeldVersion held, byte[] delta, String hash) {
            try {
                return TablesDelta.apply(held.version().tables(), delta, hash);
            } catch (ModelException e) {
                log.debug("delta to {} does not apply: {}", hash, e.getMessage());
                return null;
            }
        }
    }
}
