package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class FrameDecoderTest {
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** Guards against decoding that depends on how the stream is split into reads. */
    @ParameterizedTest
    @MethodSource("seeds")
    void decodesTheSameFramesHoweverTheStreamIsSplit(long seed) throws TransportException {
        Random random = new Random(seed);
        int readBytes = 1 + random.nextInt(64);
        List<byte[]> frames = new ArrayList<>();
        for (int count = random.nextInt(9); count > 0; count--) {
            frames.add(bytes(random, 1 + random.nextInt(300)));
        }
        FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
        List<byte[]> decoded = decode(decoder, join(frames), readBytes);
        assertThat(decoded).hasSameSizeAs(frames);
        for (int i = 0; i < frames.size(); i++) {
            assertThat(decoded.get(i)).isEqualTo(frames.get(i));
        }
        assertThat(decoder.isPartial()).isFalse();
    }

    /** Guards against undeclared exceptions, and against allocation for bytes not received. */
    @ParameterizedTest
    @MethodSource("manySeeds")
    void randomBytesAreRefusedOrBufferedInBoundedMemory(long seed) {
        Random random = new Random(seed);
        byte[] bytes = bytes(random, random.nextInt(2_001));
        // Only small lengths are accepted, and they are rare among random bytes.
        for (int i = 0; i < Math.min(3, bytes.length) && random.nextBoolean(); i++) {
            bytes[i] = 0;
        }
        FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
        try {
            decode(decoder, bytes, 97);
        } catch (TransportException e) {
            assertThat(e).hasMessageContaining("frame length");
        }
        assertThat(decoder.bufferedBytes()).isLessThanOrEqualTo(2 * bytes.length + 4_096);
    }

    /** Guards against undeclared exceptions when a malformed message is decoded. */
    @ParameterizedTest
    @MethodSource("manySeeds")
    void mutatedMessagesAreDecodedOrRefused(long mutations) {
        Random content = new Random(~mutations);
        String text = MessageTypesTest.text(content, content.nextInt(100));
        byte[] body = bytes(content, content.nextInt(100));
        MessageTypes types = new MessageTypes();
        types.add(Hello.CODEC, (from, hello) -> {});
        types.add(Note.CODEC, (from, note) -> {});
        byte[] bytes = types.encode(new Note(mutations, text, body));
        Random random = new Random(mutations);
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            bytes[random.nextInt(Math.min(bytes.length, 24))] = (byte) random.nextInt();
        }
        int length = random.nextInt(bytes.length + 1);
        try {
            types.decode(random.nextBoolean() ? bytes : Arrays.copyOf(bytes, length));
        } catch (TransportException e) {
            assertThat(e).hasMessageContaining("malformed");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, -1, Integer.MIN_VALUE, MAX_FRAME_BYTES + 1, Integer.MAX_VALUE})
    void refusesLengthsOutOfRange(int length) {
        FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
        ByteBuffer in = ByteBuffer.allocate(8).putInt(length).putInt(0).flip();
        assertThatThrownBy(() -> decoder.next(in))
                .isInstanceOf(TransportException.class)
                .hasMessageContaining(String.valueOf(length));
    }

    /**
     * Guards against allocating memory for a length that a peer announces without sending bytes.
     */
    @Test
    void anAnnouncedLengthAloneAllocatesNoMemory() throws TransportException {
        FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
        ByteBuffer in = ByteBuffer.allocate(5).putInt(MAX_FRAME_BYTES).put((byte) 1).flip();
        assertThat(decoder.next(in)).isNull();
        assertThat(decoder.isPartial()).isTrue();
        assertThat(decoder.bufferedBytes()).isLessThanOrEqualTo(4_096);
    }

    private static List<byte[]> decode(FrameDecoder decoder, byte[] stream, int readBytes)
            throws TransportException {
        List<byte[]> frames = new ArrayList<>();
        for (int from = 0; from < stream.length; from += readBytes) {
            int length = Math.min(readBytes, stream.length - from);
            ByteBuffer in = ByteBuffer.wrap(stream, from, length);
            byte[] frame = decoder.next(in);
            while (frame != null) {
                frames.add(frame);
                frame = decoder.next(in);
            }
        }
        return frames;
    }

    private static byte[] join(List<byte[]> frames) {
        int total = frames.stream().mapToInt(f -> 4 + f.length).sum();
        ByteBuffer stream = ByteBuffer.allocate(total);
        frames.forEach(frame -> stream.putInt(frame.length).put(frame));
        return stream.array();
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE), new Random(11).longs(300));
    }

    static LongStream manySeeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE),
                new Random(12).longs(2000));
    }

    private static byte[] bytes(Random random, int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return bytes;
    }
}
