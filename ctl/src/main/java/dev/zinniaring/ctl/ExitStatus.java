package dev.zinniaring.ctl;

/** The exit statuses of {@code zinniarctl}. */
public enum ExitStatus {
    /** All went well. */
    OK(0),
    /** A fault of the program, or nodes that did not follow within the wait. */
    INTERNAL(1),
    /** The command line or the settings are wrong. */
    USAGE(2),
    /** The tables or the request were refused. */
    REFUSED(3),
    /** Another change was accepted first. */
    CONFLICT(4),
    /** The change may or may not have been accepted. */
    UNKNOWN(5),
    /** The platform cannot be used. */
    UNAVAILABLE(6);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /** Returns the status as the shell sees it. */
    public int code() {
        return code;
    }
}
