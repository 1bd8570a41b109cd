package dev.zinniaring.rollout;

/**
 * How the calls of a service are divided between a new version and the others.
 *
 * @param target the new version
 * @param share fraction of the calls for the new version, 0 to 1
 * @param state progress of the roll-out
 */
public record VersionSplit(String target, double share, RolloutState state) {}
