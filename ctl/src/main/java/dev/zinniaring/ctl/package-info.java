/** The operators' command: zinniarctl. */
@NullMarked
package dev.zinniaring.ctl;

import org.jspecify.annotations.NullMarked;
