package dev.zinniaring.membership;

/** What the mesh believes of a member. */
public enum MemberState {
    /** Answers probes. */
    ALIVE,
    /** Missed probes; still used until the suspicion expires or is refuted. */
    SUSPECT,
    /** Declared dead by the members of its availability zone. */
    DEAD,
    /** Said that it leaves. */
    LEFT
}
