package dev.zinniaring.sidecar;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Differences between versions of the configuration that followed each other on a node, oldest
 * first. A node that has one of these versions is sent the steps behind it instead of the whole
 * document, which would keep calls from a link of little bandwidth. Immutable.
 */
final class VersionSteps {
    static final VersionSteps NONE = new VersionSteps(List.of());

    private static final int MAX_STEPS = 16;
    private static final int MAX_BYTES = 32 * 1024;

    private final List<Step> steps;

    /** The difference between two versions. */
    @SuppressWarnings("ArrayRecordComponent") // instances are never compared
    private record Step(long from, long to, byte[] delta) {}

    private VersionSteps(List<Step> steps) {
        this.steps = steps;
    }

    /** Returns these steps and one more; the oldest are dropped if they become too many. */
    VersionSteps with(long from, long to, byte[] delta) {
        List<Step> more = new ArrayList<>(steps);
        more.add(new Step(from, to, delta));
        return bounded(more);
    }

    /** Returns these steps and those of another node that follow them. */
    VersionSteps with(VersionSteps following) {
        List<Step> more = new ArrayList<>(steps);
        more.addAll(following.steps);
        return bounded(more);
    }

    private static VersionSteps bounded(List<Step> steps) {
        int first = steps.size();
        int bytes = 0;
        while (first > 0 && steps.size() - first < MAX_STEPS) {
            Step step = steps.get(first - 1);
            boolean continued = first == steps.size() || step.to() == steps.get(first).from();
            bytes += step.delta().length;
            if (!continued || bytes > MAX_BYTES) {
                break;
            }
            first--;
        }
        return new VersionSteps(List.copyOf(steps.subList(first, steps.size())));
    }

    /** Returns the steps that lead on from a version, or null if there are none. */
    @Nullable VersionSteps after(long version) {
        for (int i = 0; i < steps.size(); i++) {
            if (steps.get(i).from() == version) {
                return new VersionSteps(steps.subList(i, steps.size()));
            }
        }
        return null;
    }

    /** Returns the version from which the steps lead, or -1 if there are none. */
    long from() {
        return steps.isEmpty() ? -1 : steps.get(0).from();
    }

    /**
     * Returns the document to which the steps lead.
     *
     * @throws SidecarException if they do not lead on from {@code document}
     */
    byte[] apply(byte[] document) throws SidecarException {
        byte[] reached = document;
        for (Step step : steps) {
            reached = DocumentDelta.apply(step.delta(), reached);
        }
        return reached;
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(steps.size());
            for (Step step : steps) {
                packer.packLong(step.from()).packLong(step.to());
                packer.packBinaryHeader(step.delta().length);
                packer.writePayload(step.delta());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes what {@link #encode} has encoded on another node.
     *
     * @throws SidecarException if the bytes are anything else
     */
    static VersionSteps decode(byte[] bytes) throws SidecarException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int size = unpacker.unpackArrayHeader();
            if (size < 1 || size > MAX_STEPS) {
                throw new SidecarException(size + " steps between versions");
            }
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                long from = unpacker.unpackLong();
                long to = unpacker.unpackLong();
                int length = unpacker.unpackBinaryHeader();
                if (length > bytes.length) {
                    throw new SidecarException("a step of " + length + " bytes");
                }
                steps.add(new Step(from, to, unpacker.readPayload(length)));
            }
            return new VersionSteps(List.copyOf(steps));
        } catch (IOException | MessagePackException e) {
            throw new SidecarException("malformed steps between versions", e);
        }
    }
}
