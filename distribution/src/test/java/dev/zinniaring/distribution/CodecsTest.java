package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

class CodecsTest {
    private static final int RANDOM_INPUTS = 3_000;

    static Stream<MessageCodec<?>> codecs() {
        return Stream.of(
                RecordRequest.CODEC,
                RecordAck.CODEC,
                MarkQuery.CODEC,
                MarkReply.CODEC,
                VersionPush.CODEC,
                VersionPull.CODEC,
                VersionBody.CODEC,
                VersionDigest.CODEC,
                EndpointBatch.CODEC,
                EndpointPull.CODEC,
                EndpointDigest.CODEC);
    }

    @Test
    void messageTypesAreUnique() {
        Set<Integer> types = new HashSet<>();
        codecs().forEach(codec -> assertThat(types.add(codec.type())).isTrue());
    }

    // Guards against malformed input from a faulty peer that kills a thread or causes unbounded
    // allocation.
    @ParameterizedTest
    @MethodSource("codecs")
    void randomBytesAreDecodedOrRejected(MessageCodec<?> codec) {
        Random random = new Random(codec.type());
        for (int i = 0; i < RANDOM_INPUTS; i++) {
            byte[] bytes = new byte[random.nextInt(60)];
            random.nextBytes(bytes);
            try {
                codec.read(MessagePack.newDefaultUnpacker(bytes));
            } catch (IOException | MessagePackException e) {
                assertThat(e).isNotNull();
            }
        }
    }

    @Test
    void lengthsAboveTheLimitAreRejectedBeforeReading() throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(1).packBinaryHeader(Integer.MAX_VALUE);
            assertThatThrownBy(
                            () ->
                                    VersionDigest.CODEC.read(
                                            MessagePack.newDefaultUnpacker(out.toByteArray())))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("at most 32");
        }
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(1).packBinaryHeader(Integer.MAX_VALUE);
            assertThatThrownBy(
                            () ->
                                    EndpointBatch.CODEC.read(
                                            MessagePack.newDefaultUnpacker(out.toByteArray())))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void decompressedSizeIsLimited() {
        byte[] packed = Gzip.compress(new byte[100_000]);
        assertThatThrownBy(() -> Decompression.decompress(packed, 99_999))
                .isInstanceOf(DistributionException.class);
    }

    @Test
    void messagesSurviveARoundTrip() throws IOException, DistributionException {
        TreeSet<String> zones = new TreeSet<>(List.of("a", "b"));
        VersionPush push =
                new VersionPush(7, "f".repeat(64), 6, "e0".repeat(32), new byte[] {1, 2}, zones);
        assertThat(copy(VersionPush.CODEC, push)).usingRecursiveComparison().isEqualTo(push);
        RecordAck ack = new RecordAck(7, 2, true, 1_700_000_000_000L);
        assertThat(copy(RecordAck.CODEC, ack)).isEqualTo(ack);
        var records = List.of(EndpointStoreTest.record("s", 3, 4, EndpointState.DRAINING));
        assertThat(EndpointBlock.decode(EndpointBlock.encode(records))).isEqualTo(records);
    }

    private static <M extends Message> M copy(MessageCodec<M> codec, M message) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            codec.write(message, out);
            return codec.read(MessagePack.newDefaultUnpacker(out.toByteArray()));
        }
    }
}
