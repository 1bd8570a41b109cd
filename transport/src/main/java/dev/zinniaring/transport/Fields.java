package dev.zinniaring.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes field types that several messages share. Each read checks the length against a
 * limit before it allocates memory.
 */
public final class Fields {
    /** Maximum length of the name of a mesh, node or zone. */
    static final int MAX_NAME_CHARS = 63;

    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_ADDRESS_BYTES = 16;
    private static final int MAX_PORT = 65_535;

    private Fields() {}

    /** Reads a short string, such as an id or a zone, of at most 255 bytes in UTF-8. */
    public static String name(MessageUnpacker in) throws IOException {
        return text(in, MAX_NAME_BYTES);
    }

    /**
     * Reads a string.
     *
     * @throws IOException if it is longer than {@code maxBytes} in UTF-8
     */
    public static String text(MessageUnpacker in, int maxBytes) throws IOException {
        int bytes = atMost(in.unpackRawStringHeader(), maxBytes, "string");
        return new String(in.readPayload(bytes), java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * Reads a byte array.
     *
     * @throws IOException if there are more than {@code maxBytes}
     */
    public static byte[] bytes(MessageUnpacker in, int maxBytes) throws IOException {
        return in.readPayload(atMost(in.unpackBinaryHeader(), maxBytes, "binary"));
    }

    /** Writes a byte array with its length. */
    public static void bytes(MessagePacker out, byte[] bytes) throws IOException {
        out.packBinaryHeader(bytes.length);
        out.writePayload(bytes);
    }

    /**
     * Reads the header of a list and returns the number of elements.
     *
     * @throws IOException if the list has more than {@code maxCount} elements
     */
    public static int count(MessageUnpacker in, int maxCount) throws IOException {
        return atMost(in.unpackArrayHeader(), maxCount, "list");
    }

    /** Reads an address written by {@link #address(MessagePacker, InetSocketAddress)}. */
    public static InetSocketAddress address(MessageUnpacker in) throws IOException {
        byte[] host = bytes(in, MAX_ADDRESS_BYTES);
        int port = in.unpackInt();
        if (port < 0 || port > MAX_PORT) {
            throw new IOException("port " + port + " is out of range");
        }
        return new InetSocketAddress(InetAddress.getByAddress(host), port);
    }

    /** Writes the IP address and port of a resolved socket address. */
    public static void address(MessagePacker out, InetSocketAddress address) throws IOException {
        InetAddress host = address.getAddress();
        if (host == null) {
            throw new IOException("address " + address + " is unresolved");
        }
        bytes(out, host.getAddress());
        out.packInt(address.getPort());
    }

    /** Reads a peer written by {@link #peer(MessagePacker, Peer)}. */
    public static Peer peer(MessageUnpacker in) throws IOException {
        return new Peer(name(in), name(in), address(in));
    }

    /** Writes a peer. */
    public static void peer(MessagePacker out, Peer peer) throws IOException {
        out.packString(peer.nodeId());
        out.packString(peer.zone());
        address(out, peer.controlAddress());
    }

    private static int atMost(int length, int max, String what) throws IOException {
        if (length < 0 || length > max) {
            throw new IOException(what + " of length " + length + " exceeds the limit of " + max);
        }
        return length;
    }
}
