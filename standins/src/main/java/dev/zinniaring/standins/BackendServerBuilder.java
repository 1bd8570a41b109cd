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

    /** Sets the port; 0 takes a free one, which a restart keeps. */
    public BackendServerBuilder port(int number) {
        port = number;
        return this;
    }

    /** Sets how many calls run at once; others wait in the order of their arrival. */
    public BackendServerBuilder slots(int count) {
        slots = count;
        return this;
    }

    /** Sets how many connections are accepted. */
    public BackendServerBuilder connections(int limit) {
        connections = limit;
        return this;
    }

    /** Sets the time during which calls take longer after a start, in milliseconds. */
    public BackendServerBuilder warmUpMillis(int millis) {
        warmUpMillis = millis;
        return this;
    }

    /** Sets the distribution of service times. */
    public BackendServerBuilder serviceTime(ServiceTime time) {
        serviceTime = time;
        return this;
    }

    /** Sets the slot time that each new connection costs, in microseconds. */
    public BackendServerBuilder connectionCostMicros(long micros) {
        connectionCostMicros = micros;
        return this;
    }

    /** Sets the slot time that each health probe costs, in microseconds. */
    public BackendServerBuilder probeCostMicros(long micros) {
        probeCostMicros = micros;
        return this;
    }

    /** Sets the seed of the service times. */
    public BackendServerBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Sets the text whose presence in a body or path crashes the server. */
    public BackendServerBuilder crashMarker(String text) {
        crashMarker = text;
        return this;
    }

    /** Sets the node to which the server announces itself each second. */
    public BackendServerBuilder announceTo(InetSocketAddress announceAddress) {
        announceTo = announceAddress;
        return this;
    }

    /**
     * Makes each call depend on a further call through a node, whose answer is passed on.
     *
     * @param callAddress the node's address for callers
     * @param path path of the further call
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

    /** Returns the server, not started yet. */
    public BackendServer build() {
        return new BackendServer(this);
    }
}
