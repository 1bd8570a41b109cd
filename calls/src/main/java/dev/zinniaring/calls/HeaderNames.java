package dev.zinniaring.calls;

/**
 * Names of the headers exchanged with callers and backend servers. A deployment whose callers use
 * other header names can replace the defaults.
 *
 * @param callId header for the id of one attempt of a caller, echoed by the backend server
 * @param deadlineMillis header for the time left to the deadline, in milliseconds
 * @param expectedServer header for the id of the backend server to which a request is addressed
 * @param serverId header for the id of the backend server that answers
 * @param load header for the load of the backend server, as {@code running,waiting,slots}
 * @param notExecuted header that is present if the backend server did not run the request
 * @param callerService header for the service of the VM on which the request originated
 * @param serverLimit header in which a backend server names the requests per second that it accepts
 *     from all nodes together, as a decimal number
 * @param serverLeaving header with the value 1 in the answers of a backend server that is leaving
 * @param accountKey header with the key of a client account; never passed on
 * @param account header for the name of the client account that holds the key
 */
public record HeaderNames(
        String callId,
        String deadlineMillis,
        String expectedServer,
        String serverId,
        String load,
        String notExecuted,
        String callerService,
        String serverLimit,
        String serverLeaving,
        String accountKey,
        String account) {

    /** Returns whether a header that a client sends always reaches the server, maybe rewritten. */
    boolean endToEnd(String name) {
        return name.equalsIgnoreCase(callId)
                || name.equalsIgnoreCase(deadlineMillis)
                || name.equalsIgnoreCase("Host");
    }

    /** Returns whether a header is set anew for each attempt of a call, by its caller or a node. */
    boolean perAttempt(String name) {
        return name.equalsIgnoreCase(callId)
                || name.equalsIgnoreCase(deadlineMillis)
                || name.equalsIgnoreCase(expectedServer)
                || name.equalsIgnoreCase(callerService);
    }

    /** Returns a builder with the default names. */
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
        private String serverLimit = "Zinniaring-Server-Limit";
        private String serverLeaving = "Zinniaring-Server-Leaving";
        private String accountKey = "Zinniaring-Account-Key";
        private String account = "Zinniaring-Account";

        private Builder() {}

        /** Sets the name of the header for the id of an attempt. */
        public Builder callId(String name) {
            callId = name;
            return this;
        }

        /** Sets the name of the header for the time left to the deadline. */
        public Builder deadlineMillis(String name) {
            deadlineMillis = name;
            return this;
        }

        /** Sets the name of the header for the id of the server to which a request is addressed. */
        public Builder expectedServer(String name) {
            expectedServer = name;
            return this;
        }

        /** Sets the name of the header for the id of the server that answers. */
        public Builder serverId(String name) {
            serverId = name;
            return this;
        }

        /** Sets the name of the header for the load of a server. */
        public Builder load(String name) {
            load = name;
            return this;
        }

        /** Sets the name of the header that marks a request as not executed. */
        public Builder notExecuted(String name) {
            notExecuted = name;
            return this;
        }

        /** Sets the name of the header for the service from which a request originated. */
        public Builder callerService(String name) {
            callerService = name;
            return this;
        }

        /** Sets the name of the header for the request rate that a server accepts. */
        public Builder serverLimit(String name) {
            serverLimit = name;
            return this;
        }

        /** Sets the name of the header that marks answers of a server that is leaving. */
        public Builder serverLeaving(String name) {
            serverLeaving = name;
            return this;
        }

        /** Sets the name of the header with the key of a client account. */
        public Builder accountKey(String name) {
            accountKey = name;
            return this;
        }

        /** Sets the name of the header for the name of a client account. */
        public Builder account(String name) {
            account = name;
            return this;
        }

        /** Builds the header names. */
        public HeaderNames build() {
            return new HeaderNames(
                    callId,
                    deadlineMillis,
                    expectedServer,
                    serverId,
                    load,
                    notExecuted,
                    callerService,
                    serverLimit,
                    serverLeaving,
                    accountKey,
                    account);
        }
    }
}
