/**
 * Sends typed messages between nodes over TCP links and UDP datagrams. Message type 0 and negative
 * type numbers are reserved for the transport, types 1 to 10 for membership.
 */
@NullMarked
package dev.zinniaring.transport;

import org.jspecify.annotations.NullMarked;
