/**
 * Randomized soak runs: starts nodes as processes, injects faults from outside as drawn from a
 * seed, and checks invariants against what callers and backend servers observed.
 */
@org.jspecify.annotations.NullMarked
package dev.zinniaring.soak;
