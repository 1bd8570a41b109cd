package dev.zinniaring.distribution;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The configured seeds, each named by its control address. */
final class Seeds {
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

    Seeds(List<InetSocketAddress> seeds) {
        for (InetSocketAddress seed : seeds) {
            addresses.put(name(seed), seed);
        }
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("seeds must contain at least one address");
        }
    }

    static String name(InetSocketAddress address) {
        InetAddress ip = address.getAddress();
        String host = ip == null ? address.getHostString() : ip.getHostAddress();
        return host + ":" + address.getPort();
    }

    Set<String> names() {
        return addresses.keySet();
    }

    InetSocketAddress address(String name) {
        InetSocketAddress address = addresses.get(name);
        if (address == null) {
            throw new IllegalArgumentException("unknown seed " + name);
        }
        return address;
    }

    boolean contains(String name) {
        return addresses.containsKey(name);
    }

    int count() {
        return addresses.size();
    }

    int majority() {
        return addresses.size() / 2 + 1;
    }
}
