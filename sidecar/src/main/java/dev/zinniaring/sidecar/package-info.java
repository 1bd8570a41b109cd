/**
 * The sidecar process of a backend server. {@link dev.zinniaring.sidecar.Sidecar} assembles it: it
 * watches the configuration, maintains the list of backend servers, handles the announcements of
 * its local backend server and forwards calls.
 */
@NullMarked
package dev.zinniaring.sidecar;

import org.jspecify.annotations.NullMarked;
