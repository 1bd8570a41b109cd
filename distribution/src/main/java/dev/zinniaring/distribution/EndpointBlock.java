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

/**
 * Codec for a compressed block of endpoint records. A block is encoded once, however many peers
 * receive it.
 */
final class EndpointBlock {
    /** Maximum number of records in one block. */
    static final int MAX_RECORDS = 4_096;

    private static final int MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024;
    private static final EndpointState[] STATES = EndpointState.values();

    private EndpointBlock() {}

    static byte[] encode(Collection<EndpointRecord> records) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(records.size());
            for (EndpointRecord record : records) {
                write(record, out);
            }
            return Gzip.compress(out.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode endpoint records", e);
        }
    }

    static List<EndpointRecord> decode(byte[] compressed) throws DistributionException {
        byte[] bytes = Decompression.decompress(compressed, MAX_DECOMPRESSED_BYTES);
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int count = Wire.checked(in.unpackArrayHeader(), MAX_RECORDS, "list");
            List<EndpointRecord> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                records.add(read(in));
            }
            return records;
        } catch (IOException | RuntimeException e) {
            // MessageUnpacker reports unexpected types by unchecked exceptions.
            throw new DistributionException("malformed block of endpoint records", e);
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
                Wire.nonNegativeLong(in),
                Wire.nonNegativeLong(in),
                Wire.nonNegativeInt(in),
                Wire.nonNegativeInt(in),
                state(in),
                Wire.nonNegativeInt(in));
    }

    private static String name(MessageUnpacker in) throws IOException {
        return Wire.text(in, Wire.MAX_NAME_BYTES);
    }

    private static EndpointState state(MessageUnpacker in) throws IOException {
        int ordinal = Wire.nonNegativeInt(in);
        if (ordinal >= STATES.length) {
            throw new IOException("endpoint state must be below " + STATES.length);
        }
        return STATES[ordinal];
    }
}
