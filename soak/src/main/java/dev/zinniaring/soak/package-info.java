/**
 * Runs nodes as processes, injects faults from outside them by a seed, and checks what callers and
 * backend servers saw.
 */
@org.jspecify.annotations.NullMarked
package dev.zinniaring.soak;
