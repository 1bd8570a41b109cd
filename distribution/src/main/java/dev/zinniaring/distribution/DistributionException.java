package dev.zinniaring.distribution;

/** Signals that data from a peer or from the platform is unusable. */
public class DistributionException extends Exception {
    private static final long serialVersionUID = 1L;

    public DistributionException(String message) {
        super(message);
    }

    public DistributionException(String message, Throwable cause) {
        super(message, cause);
    }
}
