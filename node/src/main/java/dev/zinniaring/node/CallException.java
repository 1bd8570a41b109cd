package dev.zinniaring.node;

/**
 * Thrown if a call was refused or failed, and the node itself must respond with a status, an
 * outcome and a reason.
 */
final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final Outcome outcome;
    private final String reason;

    private CallException(int status, Outcome outcome, String reason) {
        // Calls are shed at a high rate under overload, so no stack trace is recorded.
        super(status + " " + outcome.headerValue() + " " + reason, null, false, false);
        this.status = status;
        this.outcome = outcome;
        this.reason = reason;
    }

    static CallException notRun(int status, String reason) {
        return new CallException(status, Outcome.NOT_RUN, reason);
    }

    static CallException unknown(int status, String reason) {
        return new CallException(status, Outcome.UNKNOWN, reason);
    }

    static CallException ran(int status, String reason) {
        return new CallException(status, Outcome.RAN, reason);
    }

    int status() {
        return status;
    }

    Outcome outcome() {
        return outcome;
    }

    String reason() {
        return reason;
    }
}
