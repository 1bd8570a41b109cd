/** Admitting a call. */
@NullMarked
package dev.zinniaring.admission;

import org.jspecify.annotations.NullMarked;
