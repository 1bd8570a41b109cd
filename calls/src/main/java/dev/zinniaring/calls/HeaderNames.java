package dev.zinniaring.calls;

/**
 * Names of the headers that callers and backend servers use. The defaults are the product's own; a
 * deployment whose callers speak otherwise passes its names.
 *
 * @param callId id of one attempt of a caller, echoed by the backend server
 * @param deadlineMillis time left, in milliseconds
 * @param expectedServer id of the backend server that a request is meant for
 * @param serverId id of the backend server that answers
 * @param load {@code running,waiting,slots} of the backend server
 * @param notExecuted present if the backend server did not run the request
 * @param callerService service of the VM where the request began
 */
public record HeaderNames(
        String callId,
        String deadlineMillis,
        String expectedServer,
        String serverId,
        String load,
        String notExecuted,
        String callerService) {

    /** Returns a builder with the product's own names. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link HeaderNames}. */
    public static final class Builder {
        private String callId = "Zinniaring-Call-Id";
        private String deadlineMillis = "Zinniaring-Deadline-Ms";
        private String expectedServer = "Zinniaring-Expect-Server";
        private String serverId = "Zinniaring-Server";
        private String load = "Zinniaring-Server-Load";
        private String notExecuted = "Zinniaring-Not-Run";
        private String callerService = "Zinniaring-Caller";

        private Builder() {}

        /** Sets the name of the header with the id of an attempt. */
        public Builder callId(String name) {
            callId = name;
            return this;
        }

        /** Sets the name of the header with the time left. */
        public Builder deadlineMillis(String name) {
            deadlineMillis = name;
            return this;
        }

        /** Sets the name of the header with the id of the server that a request is meant for. */
        public Builder expectedServer(String name) {
            expectedServer = name;
            return this;
        }

        /** Sets the name of the header with the id of the server that answers. */
        public Builder serverId(String name) {
            serverId = name;
            return this;
        }

        /** Sets the name of the header with the load of a server. */
        public Builder load(String name) {
            load = name;
            return this;
        }

        /** Sets the name of the header that marks a request as not run. */
        public Builder notExecuted(String name) {
            notExecuted = name;
            return this;
        }

        /** Sets the name of the header with the service where a request began. */
        public Builder callerService(String name) {
            callerService = name;
            return this;
        }

        /** Returns the names. */
        public HeaderNames build() {
            return new HeaderNames(
                    callId,
                    deadlineMillis,
                    expectedServer,
                    serverId,
                    load,
                    notExecuted,
                    callerService);
        }
    }
}
