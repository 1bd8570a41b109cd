package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;

/**
 * What {@link EntryCalls} works with.
 *
 * @param routes the routing table in force
 * @param attempts sends calls to backend servers
 * @param keyed carries calls with an idempotency key
 * @param relay passes answers on
 * @param metrics counts
 * @param limits bounds
 * @param clock the clock
 */
record EntryCallsParts(
        Routes routes,
        Attempts attempts,
        KeyedCalls keyed,
        AnswerRelay relay,
        CallMetrics metrics,
        Limits limits,
        Clock clock) {}
