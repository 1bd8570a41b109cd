package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionController;

/**
 * A local backend server. Immutable; an update creates a new instance that shares the admission
 * controller.
 *
 * @param serverId unique in the mesh
 * @param announced its last announcement
 * @param target its address as written in a URL
 * @param admission decides which calls it runs
 * @param announcedNanos clock reading at its last announcement
 */
record LocalServer(
        String serverId,
        Announcement announced,
        String target,
        AdmissionController admission,
        long announcedNanos) {
    /** Returns the value of the {@code Zinniaring-Load} header. */
    String load() {
        var state = admission.state();
        return (state.running() + state.queued()) + "/" + Math.max(1, state.limit());
    }

    /**
     * Returns the value of the {@code Zinniaring-Pressure} header, or an empty string if calls of
     * all ranks are admitted.
     */
    String pressure() {
        int order = admission.pressure();
        return order == Integer.MAX_VALUE ? "" : Integer.toString(order);
    }
}
