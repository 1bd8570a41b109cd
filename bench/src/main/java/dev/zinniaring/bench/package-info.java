/** Experiments and microbenchmarks; not shipped. */
@NullMarked
package dev.zinniaring.bench;

import org.jspecify.annotations.NullMarked;
