/** Experiments and microbenchmarks; not part of the distribution. */
@NullMarked
package dev.zinniaring.bench;

import org.jspecify.annotations.NullMarked;
