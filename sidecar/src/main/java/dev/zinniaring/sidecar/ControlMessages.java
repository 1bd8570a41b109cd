package dev.zinniaring.sidecar;

import dev.zinniaring.accounts.AccountUsage;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.rollout.VersionOutcomes;
import dev.zinniaring.rollout.VersionSplit;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Messages between a node and the leader, as MessagePack. */
final class ControlMessages {
    private static final int MAX_ENTRIES = 100_000;
    private static final int OUTCOME_FIELDS = 4;
    private static final int SPLIT_FIELDS = 3;

    private ControlMessages() {}

    /**
     * What a node has seen since its last report.
     *
     * @param nodeId id of the node
     * @param usage calls by account
     * @param outcomes calls by service with a roll-out and by route
     */
    record Report(
            String nodeId,
            Map<String, AccountUsage> usage,
            Map<String, Map<String, VersionOutcomes>> outcomes) {
        byte[] encode() {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packString(nodeId);
                packer.packMapHeader(usage.size());
                for (Map.Entry<String, AccountUsage> each : usage.entrySet()) {
                    packer.packString(each.getKey());
                    packer.packInt(each.getValue().admitted());
                    packer.packInt(each.getValue().wanted());
                }
                packer.packMapHeader(outcomes.size());
                for (Map.Entry<String, Map<String, VersionOutcomes>> each : outcomes.entrySet()) {
                    packer.packString(each.getKey());
                    packRoutes(packer, each.getValue());
                }
                return packer.toByteArray();
            } catch (IOException e) {
                throw new IllegalStateException("failed to encode a report", e);
            }
        }

        private static void packRoutes(
                MessageBufferPacker packer, Map<String, VersionOutcomes> byRoute)
                throws IOException {
            packer.packMapHeader(byRoute.size());
            for (Map.Entry<String, VersionOutcomes> each : byRoute.entrySet()) {
                VersionOutcomes outcomes = each.getValue();
                packer.packString(each.getKey());
                packer.packArrayHeader(OUTCOME_FIELDS);
                packer.packInt(outcomes.targetCalls());
                packer.packInt(outcomes.targetBad());
                packer.packInt(outcomes.otherCalls());
                packer.packInt(outcomes.otherBad());
            }
        }

        /**
         * Decodes a report.
         *
         * @throws SidecarException if the bytes are malformed
         */
        static Report decode(byte[] bytes) throws SidecarException {
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
                String nodeId = unpacker.unpackString();
                Map<String, AccountUsage> usage = new HashMap<>();
                for (int left = size(unpacker); left > 0; left--) {
                    usage.put(
                            unpacker.unpackString(),
                            new AccountUsage(unpacker.unpackInt(), unpacker.unpackInt()));
                }
                Map<String, Map<String, VersionOutcomes>> outcomes = new HashMap<>();
                for (int left = size(unpacker); left > 0; left--) {
                    outcomes.put(unpacker.unpackString(), unpackRoutes(unpacker));
                }
                return new Report(nodeId, usage, outcomes);
            } catch (IOException | MessagePackException | IllegalArgumentException e) {
                throw new SidecarException("malformed report", e);
            }
        }

        private static Map<String, VersionOutcomes> unpackRoutes(MessageUnpacker unpacker)
                throws IOException {
            Map<String, VersionOutcomes> byRoute = new HashMap<>();
            for (int left = size(unpacker); left > 0; left--) {
                String route = unpacker.unpackString();
                if (unpacker.unpackArrayHeader() != OUTCOME_FIELDS) {
                    throw new IllegalArgumentException("outcomes of another length");
                }
                byRoute.put(
                        route,
                        new VersionOutcomes(
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt()));
            }
            return byRoute;
        }
    }

    /**
     * The leader's answer to a report.
     *
     * @param fractions fraction of calls to admit, by account that is held back
     * @param splits division of calls between versions, by service with a roll-out
     */
    record Decisions(Map<String, Double> fractions, Map<String, VersionSplit> splits) {
        byte[] encode() {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packMapHeader(fractions.size());
                for (Map.Entry<String, Double> each : fractions.entrySet()) {
                    packer.packString(each.getKey());
                    packer.packFloat(each.getValue().floatValue());
                }
                packer.packMapHeader(splits.size());
                for (Map.Entry<String, VersionSplit> each : splits.entrySet()) {
                    packer.packString(each.getKey());
                    packer.packArrayHeader(SPLIT_FIELDS);
                    packer.packString(each.getValue().target());
                    packer.packFloat((float) each.getValue().share());
                    packer.packString(each.getValue().state().name());
                }
                return packer.toByteArray();
            } catch (IOException e) {
                throw new IllegalStateException("failed to encode decisions", e);
            }
        }

        /**
         * Decodes decisions.
         *
         * @throws SidecarException if the bytes are malformed
         */
        static Decisions decode(byte[] bytes) throws SidecarException {
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
                Map<String, Double> fractions = new HashMap<>();
                for (int left = size(unpacker); left > 0; left--) {
                    fractions.put(unpacker.unpackString(), (double) unpacker.unpackFloat());
                }
                Map<String, VersionSplit> splits = new HashMap<>();
                for (int left = size(unpacker); left > 0; left--) {
                    String service = unpacker.unpackString();
                    if (unpacker.unpackArrayHeader() != SPLIT_FIELDS) {
                        throw new IllegalArgumentException("split of another length");
                    }
                    splits.put(
                            service,
                            new VersionSplit(
                                    unpacker.unpackString(),
                                    unpacker.unpackFloat(),
                                    RolloutState.valueOf(unpacker.unpackString())));
                }
                return new Decisions(fractions, splits);
            } catch (IOException | MessagePackException | IllegalArgumentException e) {
                throw new SidecarException("malformed decisions", e);
            }
        }
    }

    private static int size(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        if (size > MAX_ENTRIES) {
            throw new IllegalArgumentException("too many entries: " + size);
        }
        return size;
    }
}
