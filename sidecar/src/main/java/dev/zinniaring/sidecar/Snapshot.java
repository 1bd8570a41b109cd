package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A node's copy of the nodes table, as sent to a peer that is behind.
 *
 * @param era era of the store in which {@code revision} was given out, 0 if unknown
 * @param revision newest revision of the table that the copy contains
 * @param records endpoint records of all known nodes
 */
record Snapshot(long era, long revision, List<EndpointRecord> records) {
    private static final int FIELDS = 3;

    /** Snapshots of builds that do not know eras end after the records. */
    private static final int FIELDS_WITHOUT_ERA = 2;

    static Snapshot of(ServerDirectory directory) {
        return new Snapshot(directory.era(), directory.revision(), directory.records());
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packLong(revision);
            RecordCodec.pack(packer, records);
            packer.packLong(era);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a snapshot", e);
        }
    }

    static Snapshot decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < FIELDS_WITHOUT_ERA) {
                throw new SidecarException("snapshot has too few fields");
            }
            long revision = unpacker.unpackLong();
            List<EndpointRecord> records = RecordCodec.unpack(unpacker);
            long era = fields < FIELDS ? 0 : unpacker.unpackLong();
            return new Snapshot(era, revision, records);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("malformed snapshot", e);
        }
    }
}
