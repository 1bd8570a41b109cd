/** Clients of the platform's table service and object store, and an in-memory implementation. */
@NullMarked
package dev.zinniaring.store;

import org.jspecify.annotations.NullMarked;
