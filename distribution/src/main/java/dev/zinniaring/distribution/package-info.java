/** Distribution of configuration versions and endpoint records to all nodes. */
@NullMarked
package dev.zinniaring.distribution;

import org.jspecify.annotations.NullMarked;
