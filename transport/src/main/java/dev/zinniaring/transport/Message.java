package dev.zinniaring.transport;

/** A message between nodes. Implementations are records. */
public interface Message {}
