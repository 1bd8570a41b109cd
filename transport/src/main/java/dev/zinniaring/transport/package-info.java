/** Framed messages between nodes. */
@NullMarked
package dev.zinniaring.transport;

import org.jspecify.annotations.NullMarked;
