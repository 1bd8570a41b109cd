package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;

/**
 * Dependencies of {@link EntryCalls}.
 *
 * @param routes the active routing table
 * @param dispatcher sends calls to backend servers, with retries
 * @param keyed handles calls with an idempotency key
 * @param relay relays responses
 * @param metrics metrics of the call path
 * @param limits limits of the call path
 * @param clock the clock
 */
record EntryCallsDependencies(
        Routes routes,
        RetryingDispatcher dispatcher,
        KeyedCalls keyed,
        ResponseRelay relay,
        CallMetrics metrics,
        Limits limits,
        Clock clock) {}
