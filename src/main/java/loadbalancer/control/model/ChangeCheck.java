package loadbalancer.control.model;

import java.util.HashSet;
import java.util.Set;

/**
 * Validates a change against the state it applies to: every field, every reference, and that no
 * remaining resource refers to a deleted one. The number of resources read is proportional to the
 * size of the change, except that the deletion of a request class reads all resources of its
 * service.
 */
public final class ChangeCheck {
    /** The maximum number of resources in one change; larger changes have to be split. */
    public static final int MAX_RESOURCES = 20_000;

    private static final int MAX_ID_CHARS = 128;

    private final ResourceState state;
    private final Change change;
    private final Set<ResourceId> putIds = new HashSet<>();
    private final Set<ResourceId> deletedIds = new HashSet<>();

    private ChangeCheck(ResourceState state, Change change) {
        this.state = state;
        this.change = change;
    }

    /**
     * Checks a change without modifying the state.
     *
     * @throws InvalidChangeException with place and reason if the change can't be applied to the
     *     state
     */
    public static void check(ResourceState state, Change change) throws InvalidChangeException {
        new ChangeCheck(state, change).check();
    }

    private void check() throws InvalidChangeException {
        checkSize();
        collect();
        for (Resource resource : change.put()) {
            resource.validate();
            checkReferences(resource);
        }
        for (ResourceId id : deletedIds) {
            checkNotReferenced(id);
        }
    }

    private void checkSize() throws InvalidChangeException {
        int resources = change.put().size() + change.delete().size();
        if (change.id().isEmpty() || change.id().length() > MAX_ID_CHARS) {
            throw new InvalidChangeException(
                    "change", "expected an id of 1 to " + MAX_ID_CHARS + " characters");
        }
        if (resources == 0) {
            throw new InvalidChangeException(
                    "change " + change.id(), "expected at least 1 resource");
        }
        if (resources > MAX_RESOURCES) {
            throw new InvalidChangeException(
                    "change " + change.id(),
                    "has " + resources + " resources; the maximum is " + MAX_RESOURCES);
        }
    }

    private void collect() throws InvalidChangeException {
        for (Resource resource : change.put()) {
            if (!putIds.add(resource.id())) {
                throw new InvalidChangeException(
                        resource.id().toString(), "occurs twice in the change");
            }
        }
        for (ResourceId id : change.delete()) {
            if (!deletedIds.add(id) || putIds.contains(id)) {
                throw new InvalidChangeException(id.toString(), "occurs twice in the change");
            }
            if (state.get(id) == null) {
                throw new InvalidChangeException(
                        id.toString(), "can't be deleted: it does not exist");
            }
        }
    }

    private boolean willExist(ResourceId id) {
        return putIds.contains(id) || state.get(id) != null && !deletedIds.contains(id);
    }

    private void checkReferences(Resource resource) throws InvalidChangeException {
        ResourceId id = resource.id();
        if (!willExist(ResourceId.ofService(id.service()))) {
            throw new InvalidChangeException(id.toString(), "refers to an unknown service");
        }
        if (resource instanceof Route route && !willExist(requestClass(route))) {
            throw new InvalidChangeException(
                    id.toString(), "refers to an unknown request class: " + route.requestClass());
        }
    }

    private static ResourceId requestClass(Route route) {
        return new ResourceId(ResourceKind.REQUEST_CLASS, route.service(), route.requestClass());
    }

    private void checkNotReferenced(ResourceId id) throws InvalidChangeException {
        if (id.kind() == ResourceKind.SERVICE) {
            checkServiceIsEmpty(id.service());
        }
        if (id.kind() == ResourceKind.REQUEST_CLASS) {
            checkNoRouteRefersTo(id);
        }
    }

    private void checkServiceIsEmpty(String service) throws InvalidChangeException {
        int existing = state.resourcesOf(service).size();
        long deletions = deletedIds.stream().filter(id -> id.service().equals(service)).count();
        if (deletions < existing) {
            throw new InvalidChangeException(
                    ResourceId.ofService(service).toString(),
                    "can't be deleted: "
                            + (existing - deletions)
                            + " of its resources would remain");
        }
    }

    private void checkNoRouteRefersTo(ResourceId requestClass) throws InvalidChangeException {
        for (VersionedResource existing : state.resourcesOf(requestClass.service())) {
            if (existing.resource() instanceof Route route
                    && requestClass(route).equals(requestClass)
                    && !deletedIds.contains(route.id())
                    && !putIds.contains(route.id())) {
                throw new InvalidChangeException(
                        requestClass.toString(),
                        "can't be deleted: " + route.id() + " still refers to it");
            }
        }
    }
}
