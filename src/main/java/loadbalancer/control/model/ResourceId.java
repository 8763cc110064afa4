package loadbalancer.control.model;

import java.util.Comparator;
import java.util.Locale;
import java.util.Objects;

/**
 * Identifies a resource. Every resource belongs to exactly one service.
 *
 * @param kind the kind of the resource
 * @param service the service that the resource belongs to; for a service, its own name
 * @param name unique among the resources of this kind and service
 */
public record ResourceId(ResourceKind kind, String service, String name)
        implements Comparable<ResourceId> {
    private static final Comparator<ResourceId> ORDER =
            Comparator.comparing(ResourceId::service)
                    .thenComparing(ResourceId::kind)
                    .thenComparing(ResourceId::name);

    /** Returns the identifier of a service resource. */
    public static ResourceId ofService(String service) {
        return new ResourceId(ResourceKind.SERVICE, service, service);
    }

    /**
     * Returns a hash code that is the same in every process. The default hash code of an enum is
     * its identity hash, which would make the iteration order of hash maps differ between runs.
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

    /** Compares by service, then kind, then name. */
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
