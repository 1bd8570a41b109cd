package dev.zinniaring.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class MessageTypesTest {
    private final MessageTypes types = new MessageTypes();

    MessageTypesTest() {
        types.add(Hello.CODEC, (from, hello) -> {});
        types.add(Note.CODEC, (from, note) -> {});
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void notesSurviveTheRoundTrip(long number) throws Exception {
        Random random = new Random(number);
        String text = text(random, random.nextInt(300));
        byte[] body = new byte[random.nextInt(300)];
        random.nextBytes(body);
        Note read = (Note) decode(types.encode(new Note(number, text, body)));
        assertThat(read.number()).isEqualTo(number);
        // Lone surrogates cannot be encoded in UTF-8 and are replaced.
        assertThat(read.text()).isEqualTo(new String(text.getBytes(UTF_8), UTF_8));
        assertThat(read.body()).isEqualTo(body);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void hellosSurviveTheRoundTrip(long incarnation) throws Exception {
        Random random = new Random(incarnation);
        String name = text(random, 1 + random.nextInt(63));
        byte[] host = new byte[16];
        random.nextBytes(host);
        int port = random.nextInt(65_536);
        String ascii = name.replaceAll("[^a-z]", "x");
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getByAddress(normalized(host)), port);
        Hello hello = new Hello(1, ascii, new Peer(ascii, "z", address), incarnation);
        assertThat(decode(types.encode(hello))).isEqualTo(hello);
    }

    /** Guards against closing a link because a newer version sends a new message type. */
    @Test
    void anUnknownTypeIsNotAnError() throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(2).packInt(9_999).packString("new");
            assertThat(types.decode(out.toByteArray())).isEmpty();
        }
    }

    @Test
    void bytesAfterTheLastFieldAreRefused() {
        byte[] encoded = types.encode(Note.of(1));
        byte[] longer = java.util.Arrays.copyOf(encoded, encoded.length + 1);
        assertThatThrownBy(() -> types.decode(longer)).isInstanceOf(TransportException.class);
    }

    /** Guards against allocating memory for a field's announced length before its bytes arrive. */
    @Test
    void aFieldLongerThanItsLimitIsRefusedBeforeItIsAllocated() throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4).packInt(100).packLong(1).packString("");
            out.packBinaryHeader(Integer.MAX_VALUE);
            assertThatThrownBy(() -> types.decode(out.toByteArray()))
                    .isInstanceOf(TransportException.class)
                    .cause()
                    .hasMessageContaining("exceeds the limit");
        }
    }

    private Message decode(byte[] bytes) throws TransportException {
        return types.decode(bytes).orElseThrow().message();
    }

    /** Maps an IPv4-mapped IPv6 address to the 4-byte form in which Java represents it. */
    private static byte[] normalized(byte[] host) throws UnknownHostException {
        return InetAddress.getByAddress(host).getAddress();
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE), new Random(21).longs(300));
    }

    /** Returns random characters of the whole range, including lone surrogates. */
    static String text(Random random, int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append((char) random.nextInt(random.nextBoolean() ? 128 : 65_536));
        }
        return text.toString();
    }
}
