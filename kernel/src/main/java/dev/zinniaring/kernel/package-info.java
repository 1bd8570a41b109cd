/** Life cycle, clock, executors, metrics, state dump and settings. */
@NullMarked
package dev.zinniaring.kernel;

import org.jspecify.annotations.NullMarked;
