/**
 * The process beside a backend server. {@link dev.zinniaring.sidecar.Sidecar} puts it together: it
 * follows the configuration, keeps the list of backend servers, takes the announcements of its own
 * one and carries calls.
 */
@NullMarked
package dev.zinniaring.sidecar;

import org.jspecify.annotations.NullMarked;
