package dev.zinniaring.transport;

import java.time.Duration;

/**
 * Bounds on what a network holds and how long it waits.
 *
 * @param maxFrameBytes largest frame, without its length
 * @param queueFrames frames that wait for one link at most
 * @param queueBytes bytes that wait for one link at most
 * @param maxLinks links at one time, in both directions together
 * @param acceptsPerSecond steady rate of accepted links
 * @param acceptBurst links accepted at once before the rate applies
 * @param handshakeTimeout from the start of a connect to the peer's greeting
 * @param partialFrameTimeout from the first byte of a frame to its last
 * @param writeStallTimeout without progress while frames wait
 * @param silenceTimeout without a frame from the peer until it is asked whether it is there
 * @param idleTimeout without use until the opener of a link closes it
 * @param backOffFirst bound of the first delay after a failed connect
 * @param backOffMax largest bound of the delay after a failed connect
 */
public record TransportLimits(
        int maxFrameBytes,
        int queueFrames,
        long queueBytes,
        int maxLinks,
        double acceptsPerSecond,
        double acceptBurst,
        Duration handshakeTimeout,
        Duration partialFrameTimeout,
        Duration writeStallTimeout,
        Duration silenceTimeout,
        Duration idleTimeout,
        Duration backOffFirst,
        Duration backOffMax) {
    /** Largest datagram, which fits an Ethernet packet with its headers. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Returns the limits of a node. */
    public static TransportLimits defaults() {
        return new TransportLimits(
                4 * 1024 * 1024,
                1_024,
                8 * 1024 * 1024,
                512,
                100,
                200,
                Duration.ofSeconds(5),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(30),
                Duration.ofMillis(100),
                Duration.ofSeconds(10));
    }

    /** Returns these limits with other deadlines of links. */
    public TransportLimits withTimeouts(Duration handshake, Duration partialFrame, Duration idle) {
        return new TransportLimits(
                maxFrameBytes,
                queueFrames,
                queueBytes,
                maxLinks,
                acceptsPerSecond,
                acceptBurst,
                handshake,
                partialFrame,
                writeStallTimeout,
                silenceTimeout,
                idle,
                backOffFirst,
                backOffMax);
    }

    /** Returns these limits with another time until a silent peer is asked. */
    public TransportLimits withSilenceTimeout(Duration silence) {
        return new TransportLimits(
                maxFrameBytes,
                queueFrames,
                queueBytes,
                maxLinks,
                acceptsPerSecond,
                acceptBurst,
                handshakeTimeout,
                partialFrameTimeout,
                writeStallTimeout,
                silence,
                idleTimeout,
                backOffFirst,
                backOffMax);
    }

    /** Returns these limits with other bounds on accepting links. */
    public TransportLimits withAccepting(int links, double perSecond, double burst) {
        return new TransportLimits(
                maxFrameBytes,
                queueFrames,
                queueBytes,
                links,
                perSecond,
                burst,
                handshakeTimeout,
                partialFrameTimeout,
                writeStallTimeout,
                silenceTimeout,
                idleTimeout,
                backOffFirst,
                backOffMax);
    }
}
