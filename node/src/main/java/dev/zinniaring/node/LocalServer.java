package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionController;

/**
 * A backend server beside this node. Immutable; a change makes a new one with the same admission.
 *
 * @param serverId unique in the mesh
 * @param announced what it announced last
 * @param target its address as written in a URL
 * @param admission decides which calls it runs
 * @param heardNanos reading of the clock when it was last heard
 */
record LocalServer(
        String serverId,
        Announcement announced,
        String target,
        AdmissionController admission,
        long heardNanos) {
    /** Returns the value of the {@code Zinniaring-Load} header. */
    String load() {
        var state = admission.state();
        return (state.running() + state.queued()) + "/" + Math.max(1, state.limit());
    }

    /** Returns the value of the {@code Zinniaring-Pressure} header, empty if all are admitted. */
    String pressure() {
        int order = admission.pressure();
        return order == Integer.MAX_VALUE ? "" : Integer.toString(order);
    }
}
