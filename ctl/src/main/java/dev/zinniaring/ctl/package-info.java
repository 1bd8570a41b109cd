/** The operators' command line tool, {@code zinniarctl}. */
@NullMarked
package dev.zinniaring.ctl;

import org.jspecify.annotations.NullMarked;
