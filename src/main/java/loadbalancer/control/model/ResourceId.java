package loadbalancer.control.model;

import java.util.Comparator;
import java.util.Locale;
import java.util.Objects;

/**
 * Identifies a resource. Every resource belongs to exactly one service.
 *
 * @param kind what it is
 * @param service the service it belongs to; for a service itself its own name
 * @param name unique among the resources of this kind and service
 */
public record ResourceId(ResourceKind kind, String service, String name)
        implements Comparable<ResourceId> {
    private static final Comparator<ResourceId> ORDER =
            Comparator.comparing(ResourceId::service)
                    .thenComparing(ResourceId::kind)
                    .thenComparing(ResourceId::name);

    /** The identifier of a service itself. */
    public static ResourceId ofService(String service) {
        return new ResourceId(ResourceKind.SERVICE, service, service);
    }

    /**
     * The same in every process: the order of maps must not depend on where an enum lies in memory.
     */
    @Override
    public int hashCode() {
        int kindNumber = kind == null ? 0 : 1 + kind.ordinal();
        return (Objects.hashCode(name) * 31 + Objects.hashCode(service)) * 31 + kindNumber;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ResourceId id
                && kind == id.kind
                && Objects.equals(service, id.service)
                && Objects.equals(name, id.name);
    }

    /** By service, then kind, then name. */
    @Override
    public int compareTo(ResourceId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        String kindName = kind == null ? "resource" : kind.name().toLowerCase(Locale.ROOT);
        return kindName + " " + service + "/" + name;
    }
}
