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

/** An availability zone's access to the platform, which can be made unreachable. */
final class ZonePlatform {
    private final MemoryPlatform platform;
    private volatile boolean unreachable;

    ZonePlatform(MemoryPlatform platform) {
        this.platform = platform;
    }

    /** Sets whether requests of the zone fail with {@link PlatformUnavailableException}. */
    void setUnreachable(boolean on) {
        unreachable = on;
    }

    TableService tables() {
        return new Tables();
    }

    ObjectStore objects() {
        return new Objects();
    }

    private void checkReachable() throws PlatformUnavailableException {
        if (unreachable) {
            throw new PlatformUnavailableException(
                    "platform is unreachable from this availability zone");
        }
    }

    private final class Tables implements TableService {
        @Override
        public Optional<Row> get(String key) throws PlatformException {
            checkReachable();
            return platform.tables().get(key);
        }

        @Override
        public Optional<Row> getIfChanged(String key, long knownRevision) throws PlatformException {
            checkReachable();
            return platform.tables().getIfChanged(key, knownRevision);
        }

        @Override
        public List<Row> scan(String prefix, int limit) throws PlatformException {
            checkReachable();
            return platform.tables().scan(prefix, limit);
        }

        @Override
        public boolean commit(Transaction transaction) throws PlatformException {
            checkReachable();
            return platform.tables().commit(transaction);
        }
    }

    private final class Objects implements ObjectStore {
        @Override
        public void put(String key, byte[] body) throws PlatformException {
            checkReachable();
            platform.objects().put(key, body);
        }

        @Override
        public Optional<byte[]> get(String key) throws PlatformException {
            checkReachable();
            return platform.objects().get(key);
        }
    }
}
