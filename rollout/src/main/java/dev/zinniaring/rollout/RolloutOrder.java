package dev.zinniaring.rollout;

import java.time.Duration;

/**
 * Operators' order to move the calls of a service to a version of its backend servers.
 *
 * @param service service whose servers are replaced
 * @param target version that is to serve it
 * @param duration time within which the roll-out has to end
 */
public record RolloutOrder(String service, String target, Duration duration) {
    /**
     * Checks the arguments.
     *
     * @throws IllegalArgumentException if a name is empty or the duration is not positive
     */
    public RolloutOrder {
        if (service.isEmpty() || target.isEmpty()) {
            throw new IllegalArgumentException(
                    "service and target must not be empty, were '%s' and '%s'"
                            .formatted(service, target));
        }
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException("duration must be positive, was " + duration);
        }
    }
}
