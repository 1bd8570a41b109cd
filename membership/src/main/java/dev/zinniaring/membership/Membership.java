package dev.zinniaring.membership;

/** Maintains the list of members by failure detection. Safe for use by several threads. */
public interface Membership {
    /** Returns the current view; costs one volatile read. */
    MemberView view();

    /** Registers a listener that is called after each change with the views before and after it. */
    void subscribe(Listener listener);

    /** Announces to the other members that this node leaves the mesh. */
    void leave();

    /** Is notified of changes of the member list. */
    @FunctionalInterface
    interface Listener {
        /** Handles a change; runs on a scheduler thread and must not block. */
        void onChange(MemberView before, MemberView after);
    }
}
