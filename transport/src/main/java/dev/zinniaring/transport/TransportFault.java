package dev.zinniaring.transport;

/** What a network refused, dropped or gave up, each counted. */
public enum TransportFault {
    /** A frame's bytes are not a message, or the first frame is no greeting. */
    MALFORMED_FRAME,
    /** A frame's length is not within the limits. */
    FRAME_LENGTH,
    /** A datagram is not a message of this mesh. */
    MALFORMED_DATAGRAM,
    /** A message's type is not registered. */
    UNKNOWN_TYPE,
    /** The peer belongs to another mesh. */
    WRONG_MESH,
    /** The peer speaks another protocol. */
    WRONG_PROTOCOL,
    /** Another node answered at the address, or an earlier life of the peer. */
    WRONG_PEER,
    /** No greeting came in time. */
    HANDSHAKE_TIMEOUT,
    /** A frame did not end in time. */
    PARTIAL_FRAME_TIMEOUT,
    /** The peer did not take what was sent. */
    WRITE_STALL,
    /** Nothing came from the peer, not even the answer to a check. */
    PEER_SILENT,
    /** The send queue was full and a link was closed. */
    QUEUE_FULL,
    /** Frames were dropped for newer ones. */
    DROPPED_FRAMES,
    /** A link was refused by the accept rate or the limit of links. */
    ACCEPT_REFUSED,
    /** A connect failed. */
    CONNECT_FAILED,
    /** A link broke while open. */
    LINK_BROKEN,
    /** Messages waited for a link that failed before they could be sent. */
    UNSENT,
    /** A datagram was too large or the socket would not take it. */
    DATAGRAM_NOT_SENT,
    /** A handler threw. */
    HANDLER_FAILED
}
