package dev.zinniaring.calls;

/**
 * What operators declare about the backend servers of a service.
 *
 * @param healthPath path of the health check
 * @param maxConnections connections that one backend server accepts
 */
public record ServerSettings(String healthPath, int maxConnections) {}
