package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Hash of all endpoint records that a node holds. A receiver whose hash differs answers with the
 * hashes of its buckets.
 *
 * @param summary hash over all bucket hashes
 * @param buckets hash of each bucket; empty in the first digest of an exchange
 */
record EndpointDigest(long summary, long[] buckets) implements Message {
    // An odd multiplier is invertible modulo 2^64, so no bit of a bucket hash is lost.
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    static final MessageCodec<EndpointDigest> CODEC =
            Wire.dropOldestCodec(
                    52, EndpointDigest.class, EndpointDigest::write, EndpointDigest::read);

    /** Returns the hash over all bucket hashes. */
    static long summary(long[] buckets) {
        long summary = 0;
        for (long bucket : buckets) {
            summary = summary * MULTIPLIER + bucket;
        }
        return summary;
    }

    static EndpointDigest summaryOf(long[] buckets) {
        return new EndpointDigest(summary(buckets), new long[0]);
    }

    static EndpointDigest of(long[] buckets) {
        return new EndpointDigest(summary(buckets), buckets);
    }

    /** Returns the bit set of the buckets whose hashes differ from {@code own}. */
    long differing(long[] own) {
        long differing = 0;
        for (int i = 0; i < own.length; i++) {
            if (own[i] != buckets[i]) {
                differing |= 1L << i;
            }
        }
        return differing;
    }

    private static void write(EndpointDigest message, MessagePacker out) throws IOException {
        out.packLong(message.summary).packArrayHeader(message.buckets.length);
        for (long bucket : message.buckets) {
            out.packLong(bucket);
        }
    }

    private static EndpointDigest read(MessageUnpacker in) throws IOException {
        long summary = in.unpackLong();
        int count = in.unpackArrayHeader();
        if (count != 0 && count != EndpointStore.BUCKETS) {
            throw new IOException("digest must have 0 or 64 buckets, has " + count);
        }
        long[] buckets = new long[count];
        for (int i = 0; i < count; i++) {
            buckets[i] = in.unpackLong();
        }
        return new EndpointDigest(summary, buckets);
    }
}
