package dev.zinniaring.model;

/**
 * The backend servers of one service and how calls are spread over them.
 *
 * @param name unique name
 * @param service the service that backend servers announce
 * @param policy how a backend server is chosen
 * @param maxQueued calls that may wait at one backend server's node, at least 0
 * @param maxQueueMillis longest wait in that queue, in milliseconds
 * @param retryBudgetPercent retries allowed for each 100 calls
 */
public record Pool(
        String name,
        String service,
        BalancePolicy policy,
        int maxQueued,
        int maxQueueMillis,
        int retryBudgetPercent) {}
