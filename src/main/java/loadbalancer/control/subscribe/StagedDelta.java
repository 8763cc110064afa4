package loadbalancer.control.subscribe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;

/**
 * A staged delta. It is stored separately from its base state, which doesn't change until the delta
 * is applied. Not thread-safe.
 */
final class StagedDelta implements StagedUpdate {
    private final ResourceState base;
    private final Map<String, ServiceChanges> services = new HashMap<>();
    private Digest digest;

    /** The changes of the delta to one service. */
    private static final class ServiceChanges {
        private final Map<ResourceId, VersionedResource> put = new HashMap<>();
        private final Set<ResourceId> deleted = new HashSet<>();
    }

    StagedDelta(ResourceState base, Scope scope) {
        this.base = base;
        this.digest = base.digest(scope);
    }

    @Override
    public void put(VersionedResource resource) {
        ResourceId id = resource.id();
        subtract(find(id));
        digest = digest.plus(ResourceCodec.hash(resource));
        ServiceChanges changes = changes(id);
        changes.deleted.remove(id);
        changes.put.put(id, resource);
    }

    @Override
    public void delete(ResourceId id) {
        subtract(find(id));
        ServiceChanges changes = changes(id);
        changes.put.remove(id);
        changes.deleted.add(id);
    }

    private void subtract(VersionedResource before) {
        if (before != null) {
            digest = digest.minus(ResourceCodec.hash(before));
        }
    }

    private ServiceChanges changes(ResourceId id) {
        return services.computeIfAbsent(id.service(), name -> new ServiceChanges());
    }

    private VersionedResource find(ResourceId id) {
        ServiceChanges changes = services.get(id.service());
        if (changes == null) {
            return base.get(id);
        }
        VersionedResource put = changes.put.get(id);
        if (put != null) {
            return put;
        }
        return changes.deleted.contains(id) ? null : base.get(id);
    }

    @Override
    public Digest digest() {
        return digest;
    }

    @Override
    public Set<String> services() {
        return Collections.unmodifiableSet(services.keySet());
    }

    @Override
    public Collection<VersionedResource> putResources(String service) {
        return Collections.unmodifiableCollection(services.get(service).put.values());
    }

    @Override
    public int checkCost(String service) {
        return base.resourcesOf(service).size() + services.get(service).put.size();
    }

    @Override
    public Resource get(ResourceId id) {
        VersionedResource found = find(id);
        return found == null ? null : found.resource();
    }

    @Override
    public Stream<Resource> resourcesOf(String service) {
        ServiceChanges changes = services.getOrDefault(service, new ServiceChanges());
        Stream<VersionedResource> unchanged =
                base.resourcesOf(service).stream()
                        .filter(resource -> !changes.put.containsKey(resource.id()))
                        .filter(resource -> !changes.deleted.contains(resource.id()));
        return Stream.concat(unchanged, changes.put.values().stream())
                .map(VersionedResource::resource);
    }

    @Override
    public UpdateApplication application() {
        return new Application();
    }

    /** Applies the delta to the base state in slices. */
    private final class Application implements UpdateApplication {
        private final List<VersionedResource> put = new ArrayList<>();
        private final List<ResourceId> deleted = new ArrayList<>();
        private final Iterator<ServiceChanges> remaining = services.values().iterator();
        private Iterator<ResourceId> deletions = Collections.emptyIterator();
        private Iterator<VersionedResource> puts = Collections.emptyIterator();

        @Override
        public boolean run(int resources) {
            for (int done = 0; done < resources; done++) {
                while (!deletions.hasNext() && !puts.hasNext()) {
                    if (!remaining.hasNext()) {
                        return true;
                    }
                    ServiceChanges next = remaining.next();
                    deletions = next.deleted.iterator();
                    puts = next.put.values().iterator();
                }
                applyOne();
            }
            return false;
        }

        private void applyOne() {
            if (deletions.hasNext()) {
                ResourceId id = deletions.next();
                base.delete(id);
                deleted.add(id);
            } else {
                VersionedResource resource = puts.next();
                base.put(resource);
                put.add(resource);
            }
        }

        @Override
        public ResourceState result() {
            return base;
        }

        @Override
        public boolean isSnapshot() {
            return false;
        }

        @Override
        public List<VersionedResource> put() {
            return Collections.unmodifiableList(put);
        }

        @Override
        public List<ResourceId> deleted() {
            return Collections.unmodifiableList(deleted);
        }
    }
}
