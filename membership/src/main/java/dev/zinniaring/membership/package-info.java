/** Gossip-based membership: failure detection, member lists and selection of gateway nodes. */
@NullMarked
package dev.zinniaring.membership;

import org.jspecify.annotations.NullMarked;
