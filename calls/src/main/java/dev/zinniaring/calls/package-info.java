/**
 * Proxies calls on an event loop. A call enters the mesh at its entry node, where {@link
 * dev.zinniaring.calls.EntryCalls} matches the route, selects a backend server and retries failed
 * attempts. The owner node, which runs on the VM of the selected backend server, performs admission
 * control in {@link dev.zinniaring.calls.OwnerCalls} and forwards the call to the server.
 */
@NullMarked
package dev.zinniaring.calls;

import org.jspecify.annotations.NullMarked;
