package dev.zinniaring.membership;

/** Keeps the list of members by failure detection. Safe for use by several threads. */
public interface Membership {
    /** Returns the present view; cheap, one atomic read. */
    MemberView view();

    /**
     * Registers a listener, which is called after each change with the views before and after it.
     */
    void subscribe(Listener listener);

    /** Tells the others that this node leaves. */
    void leave();

    /** Learns of changes. */
    @FunctionalInterface
    interface Listener {
        /** Handles a change on a scheduler's thread; must not block. */
        void changed(MemberView before, MemberView after);
    }
}
