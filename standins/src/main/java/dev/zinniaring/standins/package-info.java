/**
 * Fake platform services, fake backend servers and a load generator for tests, experiments and
 * development; not shipped.
 */
@NullMarked
package dev.zinniaring.standins;

import org.jspecify.annotations.NullMarked;
