/** Stand-ins for the platform, backend servers and callers; not shipped. */
@NullMarked
package dev.zinniaring.standins;

import org.jspecify.annotations.NullMarked;
