/** Plug-in life cycle, clock, timers, retry and rate limits, and strict reading of settings. */
@NullMarked
package dev.zinniaring.kernel;

import org.jspecify.annotations.NullMarked;
