package dev.zinniaring.sidecar;

import java.util.List;

/** The calls that a node serves, as its shutdown controls them. */
interface CallsInFlight {
    /**
     * Stops passing on calls that may outlast the process.
     *
     * @param endNanos clock reading at which the process ends
     * @param clientsSwitchedNanos clock reading at which clients have switched to other nodes
     */
    void stopAt(long endNanos, long clientsSwitchedNanos);

    /** Refuses all further calls of other nodes. */
    void refusePeers();

    /** Refuses all further calls of clients. */
    void refuseClients();

    /** Returns the number of calls that are being read or whose answers are not yet sent whole. */
    int count();

    /** Returns the ids of the calls whose answers are not yet sent whole. */
    List<String> ids();
}
