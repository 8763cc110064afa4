package loadbalancer.control.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The services that a subscriber subscribes to.
 *
 * @param services by name; empty for all services
 */
public record Scope(Set<String> services) {
    /** All services. */
    public static final Scope ALL = new Scope(Set.of());

    /** Copies the set in a fixed order. */
    public Scope {
        services = Collections.unmodifiableSet(new TreeSet<>(services));
    }

    /** Some services. */
    public static Scope of(String... services) {
        return new Scope(Set.of(services));
    }

    /** Whether this is all services. */
    public boolean isAll() {
        return services.isEmpty();
    }

    /** Whether it includes a service. */
    public boolean covers(String service) {
        return services.isEmpty() || services.contains(service);
    }
}
