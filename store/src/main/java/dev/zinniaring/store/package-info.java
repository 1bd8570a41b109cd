/** Clients of the platform's table service and object store. */
@NullMarked
package dev.zinniaring.store;

import org.jspecify.annotations.NullMarked;
