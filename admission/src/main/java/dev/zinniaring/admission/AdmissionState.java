package dev.zinniaring.admission;

/**
 * A snapshot of an admission controller, for reports and the {@code Zinniaring-Load} header. The
 * values are read one after another and may be slightly inconsistent with each other.
 *
 * @param running calls that hold a permit
 * @param queued calls waiting in the queue
 * @param limit current limit of concurrent calls
 * @param slots upper bound of {@code limit}
 * @param pressure order of the least urgent rank that is still admitted
 * @param granted calls granted since the start
 * @param shed calls shed since the start
 * @param draining whether new calls are refused
 */
public record AdmissionState(
        int running,
        int queued,
        int limit,
        int slots,
        int pressure,
        long granted,
        long shed,
        boolean draining) {}
