package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes endpoint records as MessagePack arrays, for rows of the store and for peers. */
final class RecordCodec {
    private static final int FIELDS = 11;
    private static final int MAX_RECORDS = 100_000;

    private RecordCodec() {}

    static byte[] encode(EndpointRecord record) {
        return encode(List.of(record));
    }

    static byte[] encode(List<EndpointRecord> records) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, records);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode endpoint records", e);
        }
    }

    static void pack(MessageBufferPacker packer, List<EndpointRecord> records) throws IOException {
        packer.packArrayHeader(records.size());
        for (EndpointRecord record : records) {
            packer.packArrayHeader(FIELDS);
            packer.packString(record.serverId());
            packer.packString(record.service());
            packer.packString(record.nodeId());
            packer.packString(record.zone());
            packer.packString(record.callAddress());
            packer.packLong(record.incarnation());
            packer.packLong(record.sequence());
            packer.packInt(record.slots());
            packer.packInt(record.connections());
            packer.packString(record.state().name());
            packer.packInt(record.warmUpMillis());
        }
    }

    /**
     * Decodes a list of records.
     *
     * @throws SidecarException if the bytes are not a valid list of records
     */
    static List<EndpointRecord> decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpack(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("malformed endpoint records", e);
        }
    }

    static List<EndpointRecord> unpack(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_RECORDS) {
            throw new IllegalArgumentException("too many endpoint records: " + count);
        }
        List<EndpointRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < FIELDS) {
                throw new IllegalArgumentException(
                        "endpoint record with only " + fields + " fields");
            }
            records.add(
                    new EndpointRecord(
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackLong(),
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            EndpointState.valueOf(unpacker.unpackString()),
                            unpacker.unpackInt()));
            // Newer builds may append fields.
            for (int extra = FIELDS; extra < fields; extra++) {
                unpacker.skipValue();
            }
        }
        return records;
    }
}
