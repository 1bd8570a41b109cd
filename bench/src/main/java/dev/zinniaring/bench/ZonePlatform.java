package dev.zinniaring.bench;

import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformUnavailableException;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.List;
import java.util.Optional;

/** A platform as one availability zone reaches it, which can be cut off from it. */
final class ZonePlatform {
    private final MemoryPlatform platform;
    private volatile boolean cut;

    ZonePlatform(MemoryPlatform platform) {
        this.platform = platform;
    }

    /** Refuses every request of the zone from now on, or lets them through again. */
    void cut(boolean on) {
        cut = on;
    }

    TableService tables() {
        return new Tables();
    }

    ObjectStore objects() {
        return new Objects();
    }

    private void check() throws PlatformUnavailableException {
        if (cut) {
            throw new PlatformUnavailableException("the zone is cut off from the platform");
        }
    }

    private final class Tables implements TableService {
        @Override
        public Optional<Row> get(String key) throws PlatformException {
            check();
            return platform.tables().get(key);
        }

        @Override
        public Optional<Row> getIfNewer(String key, long knownRevision) throws PlatformException {
            check();
            return platform.tables().getIfNewer(key, knownRevision);
        }

        @Override
        public List<Row> scan(String prefix, int limit) throws PlatformException {
            check();
            return platform.tables().scan(prefix, limit);
        }

        @Override
        public boolean commit(Transaction transaction) throws PlatformException {
            check();
            return platform.tables().commit(transaction);
        }
    }

    private final class Objects implements ObjectStore {
        @Override
        public void put(String key, byte[] body) throws PlatformException {
            check();
            platform.objects().put(key, body);
        }

        @Override
        public Optional<byte[]> get(String key) throws PlatformException {
            check();
            return platform.objects().get(key);
        }
    }
}
