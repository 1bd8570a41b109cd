package dev.zinniaring.membership;

/** State of a member as known to the mesh. */
public enum MemberState {
    /** Answers probes. */
    ALIVE,
    /** Failed to answer a probe; still used until the suspicion expires or is refuted. */
    SUSPECT,
    /** Declared dead by the members of its availability zone. */
    DEAD,
    /** Announced that it leaves the mesh. */
    LEFT
}
