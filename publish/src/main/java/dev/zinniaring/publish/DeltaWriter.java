package dev.zinniaring.publish;

import dev.zinniaring.model.ModelException;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.TablesDelta;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the difference between the latest version and its successor, so that a node that holds the
 * one reads few bytes to get the other. A missing delta costs readers the whole body, nothing else;
 * so a failure to write one does not fail the publication.
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
        } catch (PlatformException | PublishException | ModelException e) {
            log.debug("no delta from version {}: {}", base.number(), e.getMessage());
        }
    }
}
