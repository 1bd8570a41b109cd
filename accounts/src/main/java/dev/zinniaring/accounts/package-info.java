/**
 * Client accounts: whose call it is, whether its key still holds, and how much is left of its
 * quota. Decisions only; nothing here does I/O.
 */
@org.jspecify.annotations.NullMarked
package dev.zinniaring.accounts;
