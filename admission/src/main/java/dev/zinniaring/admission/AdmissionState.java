package dev.zinniaring.admission;

/**
 * A picture of an admission controller, for reports and the {@code Zinniaring-Load} header. The
 * numbers may stem from slightly different moments.
 *
 * @param running calls that hold a permit
 * @param queued calls that wait
 * @param limit calls that may run at once at present
 * @param slots upper bound of the limit
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
