/**
 * Framed messages between nodes. On the wire, type 0 and negative types belong to the transport,
 * types 1 to 10 to membership.
 */
@NullMarked
package dev.zinniaring.transport;

import org.jspecify.annotations.NullMarked;
