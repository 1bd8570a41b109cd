package dev.zinniaring.calls;

/**
 * Settings that operators declare for the backend servers of a service.
 *
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections that one backend server accepts
 */
public record ServerSettings(String healthPath, int maxConnections) {}
