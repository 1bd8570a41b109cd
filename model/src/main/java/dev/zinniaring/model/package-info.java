/**
 * Data model of the configuration: routes, pools, ranks, versions and endpoint records, with their
 * parsing, validation, canonical encoding and differences.
 */
@NullMarked
package dev.zinniaring.model;

import org.jspecify.annotations.NullMarked;
