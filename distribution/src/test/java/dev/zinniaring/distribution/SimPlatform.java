package dev.zinniaring.distribution;

import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.publish.Head;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Platform of a simulated mesh with its accepted versions; it can be made unreachable for a zone.
 */
final class SimPlatform {
    private final List<Head> heads = new CopyOnWriteArrayList<>();
    private final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private final Map<String, Long> marks = new TreeMap<>();
    final Set<String> unreachableZones = new HashSet<>();
    long reads;

    SimPlatform() {
        heads.add(new Head(0, "", "", 0, "", 0));
    }

    Head publish(Tables tables) {
        return publish(TablesCodec.encode(tables));
    }

    /** Accepts bytes that no node can decode, as a faulty publisher might. */
    Head publishUnreadable() {
        return publish(("{\"n\":" + heads.size() + "}").getBytes(StandardCharsets.UTF_8));
    }

    private Head publish(byte[] body) {
        String hash = TablesCodec.hash(body);
        bodies.put(hash, body);
        long number = heads.size();
        heads.add(new Head(number, hash, "operator", 0, "token" + number, number));
        return head();
    }

    Head head() {
        return heads.get(heads.size() - 1);
    }

    String hash(long number) {
        return heads.get((int) number).hash();
    }

    VersionSource source(String zone) {
        return new Source(zone);
    }

    static final class Unreachable extends PublishException {
        Unreachable() {
            super("platform unreachable");
        }
    }

    private final class Source implements VersionSource {
        private final String zone;

        Source(String zone) {
            this.zone = zone;
        }

        private void reach() throws Unreachable {
            reads++;
            if (unreachableZones.contains(zone)) {
                throw new Unreachable();
            }
        }

        @Override
        public Head head() throws PublishException {
            reach();
            return SimPlatform.this.head();
        }

        @Override
        public Optional<Head> headIfChanged(long knownRevision) throws PublishException {
            reach();
            return Optional.of(SimPlatform.this.head()).filter(h -> h.revision() != knownRevision);
        }

        @Override
        public byte[] body(String hash) throws PublishException {
            reach();
            return bodies.get(hash);
        }

        @Override
        public Map<String, Long> marks() throws PublishException {
            reach();
            return new TreeMap<>(marks);
        }

        @Override
        public void putMark(String seed, long mark) throws PublishException {
            reach();
            marks.merge(seed, mark, Math::max);
        }
    }
}
