/** The node process, {@code zinniaring-node}: configuration, announcements and the call path. */
@NullMarked
package dev.zinniaring.node;

import org.jspecify.annotations.NullMarked;
