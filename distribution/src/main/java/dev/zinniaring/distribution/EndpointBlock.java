package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Endpoint records as compressed bytes, encoded once however many peers receive them. */
final class EndpointBlock {
    /** Most records in one block. */
    static final int MAX_RECORDS = 4_096;

    private static final int MAX_UNPACKED_BYTES = 8 * 1024 * 1024;
    private static final EndpointState[] STATES = EndpointState.values();

    private EndpointBlock() {}

    static byte[] pack(Collection<EndpointRecord> records) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(records.size());
            for (EndpointRecord record : records) {
                write(record, out);
            }
            return Gzip.pack(out.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    static List<EndpointRecord> unpack(byte[] packed) throws DistributionException {
        byte[] bytes = Unpacking.unpack(packed, MAX_UNPACKED_BYTES);
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int count = Wire.checked(in.unpackArrayHeader(), MAX_RECORDS, "list");
            List<EndpointRecord> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                records.add(read(in));
            }
            return records;
        } catch (IOException | RuntimeException e) {
            // The unpacker reports wrong types by unchecked exceptions.
            throw new DistributionException("endpoint records are malformed", e);
        }
    }

    private static void write(EndpointRecord record, MessagePacker out) throws IOException {
        out.packString(record.serverId()).packString(record.service());
        out.packString(record.nodeId()).packString(record.zone());
        out.packString(record.callAddress());
        out.packLong(record.incarnation()).packLong(record.sequence());
        out.packInt(record.slots()).packInt(record.connections());
        out.packInt(record.state().ordinal()).packInt(record.warmUpMillis());
    }

    private static EndpointRecord read(MessageUnpacker in) throws IOException {
        return new EndpointRecord(
                name(in),
                name(in),
                name(in),
                name(in),
                name(in),
                Wire.natural(in),
                Wire.natural(in),
                Wire.naturalInt(in),
                Wire.naturalInt(in),
                state(in),
                Wire.naturalInt(in));
    }

    private static String name(MessageUnpacker in) throws IOException {
        return Wire.text(in, Wire.MAX_NAME_BYTES);
    }

    private static EndpointState state(MessageUnpacker in) throws IOException {
        int ordinal = Wire.naturalInt(in);
        if (ordinal >= STATES.length) {
            throw new IOException("endpoint state must be below " + STATES.length);
        }
        return STATES[ordinal];
    }
}
