package dev.zinniaring.distribution;

/** Content from a peer or from the platform could not be used. */
public class DistributionException extends Exception {
    private static final long serialVersionUID = 1L;

    public DistributionException(String message) {
        super(message);
    }

    public DistributionException(String message, Throwable cause) {
        super(message, cause);
    }
}
