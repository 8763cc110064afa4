package loadbalancer.control.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The set of services that a subscriber subscribes to.
 *
 * @param services the names of the services; empty for all services
 */
public record Scope(Set<String> services) {
    /** The scope of all services. */
    public static final Scope ALL = new Scope(Set.of());

    /** Copies the set into alphabetical order. */
    public Scope {
        services = Collections.unmodifiableSet(new TreeSet<>(services));
    }

    /** Returns a scope of the named services. */
    public static Scope of(String... services) {
        return new Scope(Set.of(services));
    }

    /** Returns whether the scope covers all services. */
    public boolean isAll() {
        return services.isEmpty();
    }

    /** Returns whether the scope includes a service. */
    public boolean covers(String service) {
        return services.isEmpty() || services.contains(service);
    }
}
