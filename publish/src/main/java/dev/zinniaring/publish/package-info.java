/** Accepting a change of the tables. */
@NullMarked
package dev.zinniaring.publish;

import org.jspecify.annotations.NullMarked;
