/**
 * Carries calls on an event loop: {@link dev.zinniaring.calls.EntryCalls} matches the route, places
 * the call and repeats it; {@link dev.zinniaring.calls.OwnerCalls} admits it beside its backend
 * server.
 */
@NullMarked
package dev.zinniaring.calls;

import org.jspecify.annotations.NullMarked;
