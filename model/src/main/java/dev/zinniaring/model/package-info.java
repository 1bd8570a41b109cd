/**
 * Routes, pools, ranks, versions and endpoint records, with their reading, canonical bytes and
 * differences.
 */
@NullMarked
package dev.zinniaring.model;

import org.jspecify.annotations.NullMarked;
