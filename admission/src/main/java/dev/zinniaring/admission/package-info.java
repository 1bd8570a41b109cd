/** Admission control, load shedding, retries and idempotency of calls. */
@NullMarked
package dev.zinniaring.admission;

import org.jspecify.annotations.NullMarked;
