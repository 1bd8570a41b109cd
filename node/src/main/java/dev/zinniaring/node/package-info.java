/** The node: zinniaring-node. */
@NullMarked
package dev.zinniaring.node;

import org.jspecify.annotations.NullMarked;
