package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The nodes' table as a node knows it.
 *
 * @param revision newest revision that it contains
 * @param records the records
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
            throw new IllegalStateException("a snapshot could not be written to memory", e);
        }
    }

    static Snapshot decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < FIELDS) {
                throw new SidecarException("a snapshot has too few fields");
            }
            return new Snapshot(unpacker.unpackLong(), RecordCodec.unpack(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("the bytes hold no snapshot", e);
        }
    }
}
