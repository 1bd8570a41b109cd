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
 * @param revision newest revision of the table that the copy contains
 * @param records endpoint records of all known nodes
 */
record Snapshot(long revision, List<EndpointRecord> records) {
    private static final int FIELDS = 2;

    static Snapshot of(ServerDirectory directory) {
        return new Snapshot(directory.revision(), directory.records());
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packLong(revision);
            RecordCodec.pack(packer, records);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a snapshot", e);
        }
    }

    static Snapshot decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < FIELDS) {
                throw new SidecarException("snapshot has too few fields");
            }
            return new Snapshot(unpacker.unpackLong(), RecordCodec.unpack(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("malformed snapshot", e);
        }
    }
}
