/** Choosing a backend server. */
@NullMarked
package dev.zinniaring.routing;

import org.jspecify.annotations.NullMarked;
