package dev.zinniaring.transport;

/** A typed message between nodes. Implementations are records. */
public interface Message {}
