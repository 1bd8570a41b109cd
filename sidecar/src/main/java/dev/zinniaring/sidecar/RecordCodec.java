package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes endpoint records as MessagePack arrays, for rows of the store and for peers. */
final class RecordCodec {
    private static final int FIELDS = 12;

    /** Records of builds that do not know versions of servers end before the version. */
    private static final int FIELDS_WITHOUT_VERSION = 11;

    private static final int MAX_RECORDS = 100_000;
    private static final int MAX_NAME_BYTES = 200;
    private static final int MAX_SLOTS = 100_000;

    /** The last millisecond of the year 9999; an incarnation can still be raised above it. */
    private static final long MAX_INCARNATION_MILLIS = 253_402_300_799_999L;

    private static final long MAX_SEQUENCE = 1L << 53;

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
            packer.packString(record.version());
        }
    }

    /**
     * Decodes the value of a node's row, which is a list with the one record of that node.
     *
     * @param nodeId id of the node whose row it is
     * @throws SidecarException if the bytes are anything else
     */
    static EndpointRecord decodeRow(byte[] bytes, String nodeId) throws SidecarException {
        List<EndpointRecord> records = decode(bytes);
        if (records.size() != 1) {
            throw new SidecarException("row with " + records.size() + " records");
        }
        EndpointRecord record = records.get(0);
        if (!record.nodeId().equals(nodeId)) {
            throw new SidecarException("row of node " + record.nodeId());
        }
        return record;
    }

    /**
     * Decodes a list of records.
     *
     * @throws SidecarException if the bytes are not a valid list of records, or end with others
     */
    static List<EndpointRecord> decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<EndpointRecord> records = unpack(unpacker);
            if (unpacker.hasNext()) {
                throw new SidecarException("bytes after the endpoint records");
            }
            return records;
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
            if (fields < FIELDS_WITHOUT_VERSION) {
                throw new IllegalArgumentException(
                        "endpoint record with only " + fields + " fields");
            }
            records.add(unpackRecord(unpacker, fields));
            // Newer builds may append fields.
            for (int extra = FIELDS; extra < fields; extra++) {
                unpacker.skipValue();
            }
        }
        return records;
    }

    private static EndpointRecord unpackRecord(MessageUnpacker unpacker, int fields)
            throws IOException {
        EndpointRecord record =
                new EndpointRecord(
                        name(unpacker),
                        name(unpacker),
                        name(unpacker),
                        name(unpacker),
                        name(unpacker),
                        number(unpacker, 0, MAX_INCARNATION_MILLIS),
                        number(unpacker, 0, MAX_SEQUENCE),
                        (int) number(unpacker, 1, MAX_SLOTS),
                        (int) number(unpacker, 1, Integer.MAX_VALUE),
                        EndpointState.valueOf(name(unpacker)),
                        (int) number(unpacker, 0, Integer.MAX_VALUE),
                        fields < FIELDS ? "" : name(unpacker));
        boolean named =
                !record.service().isEmpty()
                        && !record.nodeId().isEmpty()
                        && !record.zone().isEmpty()
                        && (!record.serverId().isEmpty() || record.state() == EndpointState.GONE);
        if (!named) {
            throw new IllegalArgumentException("endpoint record without a name");
        }
        if (Addresses.parse(record.callAddress()).getPort() == 0) {
            throw new IllegalArgumentException("endpoint record with port 0");
        }
        return record;
    }

    private static String name(MessageUnpacker unpacker) throws IOException {
        int bytes = unpacker.unpackRawStringHeader();
        if (bytes > MAX_NAME_BYTES) {
            throw new IllegalArgumentException("name of " + bytes + " bytes");
        }
        return new String(unpacker.readPayload(bytes), StandardCharsets.UTF_8);
    }

    private static long number(MessageUnpacker unpacker, long min, long max) throws IOException {
        long value = unpacker.unpackLong();
        if (value < min || value > max) {
            throw new IllegalArgumentException("number out of range: " + value);
        }
        return value;
    }
}
