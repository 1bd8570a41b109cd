package dev.zinniaring.transport;

/** A fault of a peer, a link or a message. Each occurrence is counted. */
public enum TransportFault {
    /** A frame could not be decoded, or the first frame of a link was not a Hello message. */
    MALFORMED_FRAME,
    /** The length of a frame was out of range. */
    FRAME_LENGTH,
    /** A datagram could not be decoded or was too large. */
    MALFORMED_DATAGRAM,
    /** The type of a received message is not registered. */
    UNKNOWN_TYPE,
    /** The peer belongs to another mesh. */
    WRONG_MESH,
    /** The peer uses another version of the protocol. */
    WRONG_PROTOCOL,
    /** The other side was another node than expected, or an earlier incarnation of the peer. */
    WRONG_PEER,
    /** The peer's Hello message did not arrive in time. */
    HANDSHAKE_TIMEOUT,
    /** The rest of a frame did not arrive in time. */
    PARTIAL_FRAME_TIMEOUT,
    /** The peer stopped reading: no queued bytes could be written within the timeout. */
    WRITE_STALL,
    /** The peer sent nothing, not even an answer to a link check. */
    PEER_SILENT,
    /** A link was closed because its send queue was full. */
    QUEUE_FULL,
    /** A droppable frame was discarded because the send queue was full. */
    DROPPED_FRAMES,
    /** An incoming connection was refused by the accept rate or the limit on links. */
    ACCEPT_REFUSED,
    /** A connect failed, or the peer closed the connection before its Hello message. */
    CONNECT_FAILED,
    /** An I/O error broke an established link. */
    LINK_BROKEN,
    /**
     * A message was discarded unsent: its link closed or could not be opened, or too many bytes
     * were waiting for the I/O thread.
     */
    UNSENT,
    /** A datagram was too large to send, or the socket did not accept it. */
    DATAGRAM_NOT_SENT,
    /** A message handler threw an exception. */
    HANDLER_FAILED
}
