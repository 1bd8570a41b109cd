package dev.zinniaring.ctl;

/** A command failed, with the exit status that it reports. */
public final class CtlException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitStatus status;

    /**
     * Creates the exception.
     *
     * @param status the exit status of the command
     */
    public CtlException(ExitStatus status, String message) {
        super(message);
        this.status = status;
    }

    /** Creates the exception with its cause. */
    public CtlException(ExitStatus status, String message, Throwable cause) {
        super(message, cause);
        this.status = status;
    }

    /** Returns the exit status of the command. */
    public ExitStatus status() {
        return status;
    }
}
