package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Summary of a node's state that peers exchange to find out which of them is behind.
 *
 * @param version number of the active configuration, 0 if none
 * @param era era of the store in which {@code revision} was given out, 0 if unknown
 * @param revision newest known revision of the nodes table, -1 if none
 * @param ageMillis time since the store confirmed this state, directly or through other nodes
 * @param own the sender's own record, or empty before it has one
 * @param suspects hash of the requests that were in flight when servers crashed, 0 if none
 * @param control what the sender knows of keys and the leader
 */
record Digest(
        long version,
        long era,
        long revision,
        long ageMillis,
        List<EndpointRecord> own,
        long suspects,
        ControlDigest control) {
    private static final int FIELDS = 9;

    /** Digests of nodes with nothing to agree on end after the suspects. */
    private static final int FIELDS_WITHOUT_CONTROL = 6;

    /** Digests of builds without a crash guard end after the era. */
    private static final int FIELDS_WITHOUT_SUSPECTS = 5;

    /** Digests of builds that do not know eras end after the records. */
    private static final int FIELDS_WITHOUT_ERA = 4;

    /** Creates the digest of a node that has nothing to agree on with others. */
    Digest(
            long version,
            long era,
            long revision,
            long ageMillis,
            List<EndpointRecord> own,
            long suspects) {
        this(version, era, revision, ageMillis, own, suspects, ControlDigest.NONE);
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            boolean agrees = !control.equals(ControlDigest.NONE);
            packer.packArrayHeader(agrees ? FIELDS : FIELDS_WITHOUT_CONTROL);
            packer.packLong(version);
            packer.packLong(revision);
            packer.packLong(ageMillis);
            RecordCodec.pack(packer, own);
            packer.packLong(era);
            packer.packLong(suspects);
            if (agrees) {
                packer.packLong(control.keyAgeMillis());
                packer.packLong(control.leaderTerm());
                packer.packString(control.leaderAddress());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a digest", e);
        }
    }

    static Digest decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < FIELDS_WITHOUT_ERA) {
                throw new SidecarException("digest has too few fields");
            }
            long version = unpacker.unpackLong();
            long revision = unpacker.unpackLong();
            long ageMillis = unpacker.unpackLong();
            List<EndpointRecord> own = RecordCodec.unpack(unpacker);
            long era = fields < FIELDS_WITHOUT_SUSPECTS ? 0 : unpacker.unpackLong();
            long suspects = fields < FIELDS_WITHOUT_CONTROL ? 0 : unpacker.unpackLong();
            ControlDigest control =
                    fields < FIELDS
                            ? ControlDigest.NONE
                            : new ControlDigest(
                                    unpacker.unpackLong(),
                                    unpacker.unpackLong(),
                                    unpacker.unpackString());
            return new Digest(version, era, revision, ageMillis, own, suspects, control);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SidecarException("malformed digest", e);
        }
    }
}
