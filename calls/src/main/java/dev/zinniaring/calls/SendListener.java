package dev.zinniaring.calls;

/** Learns what became of a request that this process sent. One method is called, once. */
public interface SendListener {
    /** The whole answer is here. */
    void answered(Answer answer);

    /** There is no whole answer. */
    void failed(SendFailure failure, String reason);
}
