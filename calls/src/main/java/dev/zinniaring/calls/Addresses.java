package dev.zinniaring.calls;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats addresses of the form {@code ip:port}. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address of the form {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text is not an IPv4 address followed by a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw malformed(text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw malformed(text);
            }
            return new InetSocketAddress(
                    InetAddress.getByAddress(bytes(text.substring(0, colon), text)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw malformed(text);
        }
    }

    /** Formats an address so that {@link #parse} can read it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static byte[] bytes(String ip, String text) {
        String[] parts = ip.split("\\.", -1);
        if (parts.length != 4) {
            throw malformed(text);
        }
        byte[] bytes = new byte[4];
        for (int i = 0; i < 4; i++) {
            int value = Integer.parseInt(parts[i]);
            if (value < 0 || value > 255) {
                throw malformed(text);
            }
            bytes[i] = (byte) value;
        }
        return bytes;
    }

    private static IllegalArgumentException malformed(String text) {
        return new IllegalArgumentException(
                "address must be an IPv4 address and a port (ip:port): \"" + text + "\"");
    }
}
