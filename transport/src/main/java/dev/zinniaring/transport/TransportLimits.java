package dev.zinniaring.transport;

import java.time.Duration;

/**
 * Limits and timeouts of a network.
 *
 * @param maxFrameBytes maximum size of a frame, without its length prefix
 * @param queueFrames maximum number of frames queued on one link
 * @param queueBytes maximum number of bytes queued on one link, and of bytes handed to the I/O
 *     thread but not yet queued
 * @param maxLinks maximum number of links, opened and accepted together
 * @param acceptsPerSecond sustained rate of accepted links
 * @param acceptBurst number of links accepted in a burst before the rate applies
 * @param handshakeTimeout maximum time from the start of a connect to the peer's Hello message, and
 *     for the answer to a link check
 * @param partialFrameTimeout maximum time from the first byte of a frame to its last
 * @param writeStallTimeout maximum time without write progress while frames are due
 * @param silenceTimeout time without bytes from the peer after which a link check is sent
 * @param idleTimeout time without messages after which the side that opened a link closes it; the
 *     accepting side waits twice as long
 * @param backOffFirst upper bound of the delay after the first failed connect
 * @param backOffMax largest upper bound of the delay after failed connects
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
    /** Maximum payload of a datagram; with its headers it fits into one Ethernet frame. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Returns the default limits. */
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

    /** Returns a copy with other handshake, partial frame and idle timeouts. */
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

    /** Returns a copy with another silence timeout. */
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

    /** Returns a copy with other limits on the number of links and the accept rate. */
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
