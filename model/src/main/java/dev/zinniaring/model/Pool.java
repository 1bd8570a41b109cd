package dev.zinniaring.model;

/**
 * The backend servers of one service, with the balancing, queueing and retry limits of their calls.
 *
 * @param name unique name
 * @param service name of the service that the pool's backend servers announce
 * @param policy load-balancing policy
 * @param maxQueued maximum number of calls queued at the node of one backend server, at least 0
 * @param maxQueueMillis maximum time in that queue, in milliseconds
 * @param retryBudgetPercent number of retries allowed per 100 calls
 */
public record Pool(
        String name,
        String service,
        BalancePolicy policy,
        int maxQueued,
        int maxQueueMillis,
        int retryBudgetPercent) {}
