/** Failure detection and choice of gateways. */
@NullMarked
package dev.zinniaring.membership;

import org.jspecify.annotations.NullMarked;
