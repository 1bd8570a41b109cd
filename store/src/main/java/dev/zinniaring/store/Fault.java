package dev.zinniaring.store;

/** A fault that is injected into one request. */
public enum Fault {
    /** No fault. */
    NONE,
    /** The platform rejects the request as unavailable; the request has no effect. */
    UNAVAILABLE,
    /** The platform rejects the request because of its rate limit; the request has no effect. */
    THROTTLED,
    /** The request is lost and never takes effect; the caller cannot tell whether it did. */
    LOST_BEFORE_EFFECT,
    /** The request takes effect but its response is lost; the caller cannot tell whether it did. */
    LOST_AFTER_EFFECT,
    /**
     * The response is lost and a write takes effect only at {@link
     * MemoryPlatform#deliverDelayed()}, like a request that was held up in a queue between the
     * client and the platform.
     */
    LOST_AND_DELAYED
}
