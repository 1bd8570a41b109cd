package dev.zinniaring.publish;

import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.TablesDelta;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the delta between the latest version and its successor, so that a node that holds the
 * former needs to read only few bytes. If a delta is missing, readers fetch the complete body;
 * therefore a failure to write a delta does not fail the publication.
 */
final class DeltaWriter {
    private static final Logger log = LoggerFactory.getLogger(DeltaWriter.class);

    private final MeshKeys keys;
    private final ObjectStore objects;
    private final VersionSource source;

    DeltaWriter(MeshKeys keys, ObjectStore objects, VersionSource source) {
        this.keys = keys;
        this.objects = objects;
        this.source = source;
    }

    void write(Head base, String hash, Tables target) {
        if (base.number() == 0 || base.hash().equals(hash)) {
            return;
        }
        try {
            Tables from = TablesCodec.decode(source.body(base.hash()));
            byte[] delta = TablesDelta.between(from, target);
            objects.put(keys.delta(base.hash(), hash), delta);
        } catch (PlatformException | PublishException | InvalidTablesException e) {
            log.debug("cannot store delta from version {}: {}", base.number(), e.getMessage());
        }
    }
}
