package dev.zinniaring.sidecar;

import java.io.IOException;
import java.util.Arrays;
import java.util.zip.CRC32;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The difference between two versions of a text document, as parts that are copied from the older
 * one and bytes that are new. Its cost follows the number of changes, since equal parts are only
 * compared. Any two documents have a difference; it is short if they differ in a few records, which
 * end with a line feed, or with a closing brace and a comma.
 */
final class DocumentDelta {
    /** Records behind a change among which the next equal part is looked for. */
    private static final int MAX_RECORDS_AHEAD = 16;

    /** Equal bytes that are taken for the continuation of both documents. */
    private static final int RESUME_BYTES = 128;

    /** Bounds the memory that a malformed difference can occupy. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private DocumentDelta() {}

    /** Returns the difference in an encoded form. */
    static byte[] between(byte[] older, byte[] newer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(newer.length);
            packer.packLong(checksum(newer));
            new Comparison(older, newer, packer).write();
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Returns the newer document.
     *
     * @throws SidecarException if the difference is malformed or belongs to another older document
     */
    static byte[] apply(byte[] delta, byte[] older) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(delta)) {
            int length = unpacker.unpackInt();
            if (length < 0 || length > MAX_BYTES) {
                throw new SidecarException("a document of " + length + " bytes");
            }
            long checksum = unpacker.unpackLong();
            byte[] newer = new byte[length];
            int done = 0;
            while (done < length) {
                int copyFrom = unpacker.unpackInt();
                int copyBytes = unpacker.unpackInt();
                int newBytes = unpacker.unpackBinaryHeader();
                System.arraycopy(older, copyFrom, newer, done, copyBytes);
                done += copyBytes;
                unpacker.readPayload(newer, done, newBytes);
                done += newBytes;
            }
            if (checksum(newer) != checksum) {
                throw new SidecarException("the difference belongs to another document");
            }
            return newer;
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw new SidecarException("malformed difference of documents", e);
        }
    }

    private static long checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return crc.getValue();
    }

    /** Walks through both documents. */
    private static final class Comparison {
        private final byte[] older;
        private final byte[] newer;
        private final MessageBufferPacker packer;

        Comparison(byte[] older, byte[] newer, MessageBufferPacker packer) {
            this.older = older;
            this.newer = newer;
            this.packer = packer;
        }

        void write() throws IOException {
            int inOlder = 0;
            int inNewer = 0;
            while (inNewer < newer.length) {
                int equal =
                        Arrays.mismatch(older, inOlder, older.length, newer, inNewer, newer.length);
                int copied = equal < 0 ? newer.length - inNewer : equal;
                int[] next = resume(inOlder + copied, inNewer + copied);
                packer.packInt(inOlder).packInt(copied);
                packer.packBinaryHeader(next[1] - inNewer - copied);
                packer.addPayload(Arrays.copyOfRange(newer, inNewer + copied, next[1]));
                inOlder = next[0];
                inNewer = next[1];
            }
        }

        /** Returns the offsets behind a change at which both documents go on in the same way. */
        private int[] resume(int inOlder, int inNewer) {
            int[] olderStarts = recordStarts(older, inOlder);
            int[] newerStarts = recordStarts(newer, inNewer);
            for (int sum = 0; sum < olderStarts.length + newerStarts.length - 1; sum++) {
                for (int i = Math.max(0, sum - newerStarts.length + 1);
                        i <= Math.min(sum, olderStarts.length - 1);
                        i++) {
                    int from = olderStarts[i];
                    int to = newerStarts[sum - i];
                    if (from + RESUME_BYTES <= older.length
                            && to + RESUME_BYTES <= newer.length
                            && Arrays.equals(
                                    older,
                                    from,
                                    from + RESUME_BYTES,
                                    newer,
                                    to,
                                    to + RESUME_BYTES)) {
                        return new int[] {from, to};
                    }
                }
            }
            int suffix = commonSuffix(inOlder, inNewer);
            return new int[] {older.length - suffix, newer.length - suffix};
        }

        private static int[] recordStarts(byte[] document, int from) {
            int[] starts = new int[MAX_RECORDS_AHEAD];
            int found = 0;
            for (int i = from; i < document.length && found < starts.length; i++) {
                boolean recordEnds =
                        document[i] == '\n'
                                || (document[i] == ',' && i > 0 && document[i - 1] == '}');
                if (recordEnds) {
                    starts[found] = i + 1;
                    found++;
                }
            }
            return Arrays.copyOf(starts, found);
        }

        private int commonSuffix(int inOlder, int inNewer) {
            int most = Math.min(older.length - inOlder, newer.length - inNewer);
            int suffix = 0;
            while (suffix < most
                    && older[older.length - 1 - suffix] == newer[newer.length - 1 - suffix]) {
                suffix++;
            }
            return suffix;
        }
    }
}
