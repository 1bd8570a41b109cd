/** Publication of changes to the tables of a mesh. */
@NullMarked
package dev.zinniaring.publish;

import org.jspecify.annotations.NullMarked;
