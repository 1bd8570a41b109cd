package dev.zinniaring.bench;

import java.time.Duration;
import java.util.List;

/**
 * The size of a customer's deployment, as given in the requirements.
 *
 * @param name deployment name
 * @param zones availability zones
 * @param oneWay one-way network delay between zones
 * @param clientOneWay one-way network delay between callers and their zone
 * @param services services with their backend servers
 * @param slots number of calls that a backend server executes concurrently
 * @param connections maximum number of connections that a backend server accepts
 */
record Deployment(
        String name,
        List<String> zones,
        Duration oneWay,
        Duration clientOneWay,
        List<Service> services,
        int slots,
        int connections) {
    /** A service and the number of its backend servers. */
    record Service(String name, int servers) {}

    static final Deployment PT_CENTRO =
            new Deployment(
                    "pt-centro",
                    List.of("pt-a", "pt-b", "pt-c"),
                    Duration.ofMillis(5),
                    Duration.ofMillis(3),
                    List.of(
                            new Service("prateleira", 4),
                            new Service("encomendas", 3),
                            new Service("expedicao", 3),
                            new Service("arquivo", 3)),
                    6,
                    130);

    static final Deployment SE_MID =
            new Deployment(
                    "se-mid",
                    List.of("se-a", "se-b", "se-c"),
                    Duration.ofMillis(4),
                    Duration.ofMillis(1),
                    List.of(
                            new Service("katalog", 3),
                            new Service("bokning", 3),
                            new Service("avgift", 3),
                            new Service("arkiv", 3)),
                    18,
                    120);

    static final List<Deployment> ALL = List.of(PT_CENTRO, SE_MID);

    /** Returns the number of backend servers, which equals the number of nodes. */
    int servers() {
        return services.stream().mapToInt(Service::servers).sum();
    }

    /** Returns the zone of a backend server of a service; servers are assigned round-robin. */
    String zoneOf(int server) {
        return zones.get(server % zones.size());
    }
}
