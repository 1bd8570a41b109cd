package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What a node tells another to compare what both know.
 *
 * @param version number of the configuration in force, 0 if none
 * @param revision newest revision of the nodes' table that it knows, -1 if none
 * @param ageMillis time since the store confirmed this, directly or through other nodes
 * @param own its own record, or empty
 */
record Digest(long version, long revision, long ageMillis, List<EndpointRecord> own) {
    private static final int FIELDS = 4;

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packLong(version);
            packer.packLong(revision);
            packer.packLong(ageMillis);
            RecordCodec.pack(packer, own);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a digest could not be written to memory", e);
        }
    }

    static Digest decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < FIELDS) {
                throw new SidecarException("a digest has too few fields");
            }
            return new Digest(
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    RecordCodec.unpack(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("the bytes hold no digest", e);
        }
    }
}
