package dev.zinniaring.standins;

import dev.zinniaring.kernel.Clock;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** Builds a {@link BackendServer}. */
public final class BackendServerBuilder {
    final String serverId;
    final String service;
    int port;
    int slots = 6;
    int connections = 130;
    int warmUpMillis;
    ServiceTime serviceTime = ServiceTime.fixed(0);
    long connectionCostMicros = 1_000;
    long probeCostMicros = 6_000;
    long seed = 1;
    String crashMarker = "crash-the-server";
    @Nullable InetSocketAddress announceTo;
    @Nullable InetSocketAddress nextNode;
    String nextPath = "/";
    Clock clock = Clock.system();

    BackendServerBuilder(String serverId, String service) {
        this.serverId = serverId;
        this.service = service;
    }

    /** Sets the port; 0 (the default) selects a free one, which is kept across restarts. */
    public BackendServerBuilder port(int number) {
        port = number;
        return this;
    }

    /** Sets how many calls run concurrently; further calls wait in a FIFO queue. */
    public BackendServerBuilder slots(int count) {
        slots = count;
        return this;
    }

    /** Sets the maximum number of open connections. */
    public BackendServerBuilder connections(int limit) {
        connections = limit;
        return this;
    }

    /**
     * Sets the length of the warm-up after a start, in milliseconds. Calls take longer at first;
     * the penalty decreases linearly to zero over this time.
     */
    public BackendServerBuilder warmUpMillis(int millis) {
        warmUpMillis = millis;
        return this;
    }

    /** Sets the distribution of service times. */
    public BackendServerBuilder serviceTime(ServiceTime time) {
        serviceTime = time;
        return this;
    }

    /** Sets how long each new connection occupies a slot, in microseconds. */
    public BackendServerBuilder connectionCostMicros(long micros) {
        connectionCostMicros = micros;
        return this;
    }

    /** Sets how long each health probe occupies a slot, in microseconds. */
    public BackendServerBuilder probeCostMicros(long micros) {
        probeCostMicros = micros;
        return this;
    }

    /** Sets the seed from which service times are drawn. */
    public BackendServerBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Sets the text that crashes the server if the body or path of a call contains it. */
    public BackendServerBuilder crashMarker(String text) {
        crashMarker = text;
        return this;
    }

    /** Sets the address of the node to which the server announces itself each second. */
    public BackendServerBuilder announceTo(InetSocketAddress announceAddress) {
        announceTo = announceAddress;
        return this;
    }

    /**
     * Makes each call issue a downstream call through a node and return the status of that call.
     *
     * @param callAddress the address on which the node accepts calls
     * @param path path of the downstream call
     */
    public BackendServerBuilder next(InetSocketAddress callAddress, String path) {
        nextNode = callAddress;
        nextPath = path;
        return this;
    }

    /** Sets the clock. */
    public BackendServerBuilder clock(Clock source) {
        clock = source;
        return this;
    }

    /** Returns a new server; {@link BackendServer#start} starts it. */
    public BackendServer build() {
        return new BackendServer(this);
    }
}
