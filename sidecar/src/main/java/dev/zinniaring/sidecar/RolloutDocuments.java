package dev.zinniaring.sidecar;

import dev.zinniaring.rollout.RolloutOrder;
import dev.zinniaring.rollout.RolloutState;
import org.jspecify.annotations.Nullable;

/** Location and format of roll-out orders and of their states on a platform. */
public interface RolloutDocuments {
    /** Documents of a platform without roll-outs. */
    RolloutDocuments NONE =
            new RolloutDocuments() {
                @Override
                public @Nullable String orderedService(String key) {
                    return null;
                }

                @Override
                public @Nullable RolloutOrder order(byte[] value) {
                    return null;
                }

                @Override
                public String statusTable() {
                    return "";
                }

                @Override
                public String statusKey(String service) {
                    return "";
                }

                @Override
                public byte[] status(RolloutOrder order, RolloutState state) {
                    return new byte[0];
                }

                @Override
                public @Nullable RolloutState state(byte[] value, String target) {
                    return null;
                }
            };

    /**
     * Returns the service that a row of the configuration table orders a roll-out of, or null if
     * the row is something else.
     */
    @Nullable String orderedService(String key);

    /** Returns the order in a row, or null if it is malformed. */
    @Nullable RolloutOrder order(byte[] value);

    /** Returns the table for the states of roll-outs. */
    String statusTable();

    /** Returns the key of the row for the state of a service's roll-out. */
    String statusKey(String service);

    /** Returns the value of that row. */
    byte[] status(RolloutOrder order, RolloutState state);

    /** Returns the state in a row, or null if it is malformed or about another target. */
    @Nullable RolloutState state(byte[] value, String target);
}
