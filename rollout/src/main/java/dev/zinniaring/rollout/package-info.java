/**
 * Roll-outs: moves the calls of a service to a new version of its backend servers step by step, and
 * back if the new version is worse. Decisions only; nothing here does I/O.
 */
@org.jspecify.annotations.NullMarked
package dev.zinniaring.rollout;
