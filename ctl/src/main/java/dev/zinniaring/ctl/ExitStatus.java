package dev.zinniaring.ctl;

/** The exit statuses of {@code zinniarctl}. */
public enum ExitStatus {
    /** The command succeeded. */
    OK(0),
    /** An internal error, or not all nodes followed the version within the wait. */
    INTERNAL(1),
    /** The command line or the settings are invalid. */
    USAGE(2),
    /** The tables or the request were rejected. */
    REFUSED(3),
    /** Another change was accepted first. */
    CONFLICT(4),
    /** It is unknown whether the change was accepted. */
    UNKNOWN(5),
    /** The platform is unavailable. */
    UNAVAILABLE(6);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return code;
    }
}
