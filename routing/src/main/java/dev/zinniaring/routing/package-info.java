/** Route matching, load balancing and outlier detection. */
@NullMarked
package dev.zinniaring.routing;

import org.jspecify.annotations.NullMarked;
