/** Bringing versions and endpoints to every node. */
@NullMarked
package dev.zinniaring.distribution;

import org.jspecify.annotations.NullMarked;
