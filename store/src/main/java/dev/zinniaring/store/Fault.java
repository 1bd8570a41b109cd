package dev.zinniaring.store;

/** What goes wrong with one request. */
public enum Fault {
    /** Nothing. */
    NONE,
    /** The platform refuses the request; it has no effect. */
    UNAVAILABLE,
    /** The platform refuses the request because of its rate limit; it has no effect. */
    THROTTLED,
    /** The request is lost on its way and never takes effect; the caller cannot tell. */
    LOST_BEFORE_EFFECT,
    /** The request takes effect and its answer is lost; the caller cannot tell. */
    LOST_AFTER_EFFECT,
    /**
     * The answer is lost and a write takes effect only at {@link MemoryPlatform#deliverDelayed()},
     * as after a long pause of a queue in between.
     */
    LOST_AND_DELAYED
}
