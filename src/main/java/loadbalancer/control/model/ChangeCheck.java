package loadbalancer.control.model;

import java.util.HashSet;
import java.util.Set;

/**
 * Checks a change against the state that it is made to: every field, every reference, and that no
 * reference to a deleted resource is left. Reads as many resources as the change has, except for
 * the deletion of a class, which reads all routes of its service.
 */
public final class ChangeCheck {
    /** Resources that one change may touch; larger changes are made in steps. */
    public static final int MAX_RESOURCES = 20_000;

    private static final int MAX_ID_CHARS = 128;

    private final ResourceState state;
    private final Change change;
    private final Set<ResourceId> put = new HashSet<>();
    private final Set<ResourceId> deleted = new HashSet<>();

    private ChangeCheck(ResourceState state, Change change) {
        this.state = state;
        this.change = change;
    }

    /**
     * Checks a change; the state is only read.
     *
     * @throws InvalidChangeException with place and reason if the change can't be made to that
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
        for (ResourceId id : deleted) {
            checkNothingRefersTo(id);
        }
    }

    private void checkSize() throws InvalidChangeException {
        int resources = change.put().size() + change.delete().size();
        if (change.id().isEmpty() || change.id().length() > MAX_ID_CHARS) {
            throw new InvalidChangeException(
                    "change", "needs an id of 1 to " + MAX_ID_CHARS + " characters");
        }
        if (resources == 0) {
            throw new InvalidChangeException("change " + change.id(), "touches no resource");
        }
        if (resources > MAX_RESOURCES) {
            throw new InvalidChangeException(
                    "change " + change.id(),
                    "touches " + resources + " resources, more than " + MAX_RESOURCES);
        }
    }

    private void collect() throws InvalidChangeException {
        for (Resource resource : change.put()) {
            if (!put.add(resource.id())) {
                throw new InvalidChangeException(
                        resource.id().toString(), "occurs twice in the change");
            }
        }
        for (ResourceId id : change.delete()) {
            if (!deleted.add(id) || put.contains(id)) {
                throw new InvalidChangeException(id.toString(), "occurs twice in the change");
            }
            if (state.get(id) == null) {
                throw new InvalidChangeException(id.toString(), "can't be deleted: there is none");
            }
        }
    }

    private boolean willExist(ResourceId id) {
        return put.contains(id) || state.get(id) != null && !deleted.contains(id);
    }

    private void checkReferences(Resource resource) throws InvalidChangeException {
        ResourceId id = resource.id();
        if (!willExist(ResourceId.ofService(id.service()))) {
            throw new InvalidChangeException(id.toString(), "refers to an unknown service");
        }
        if (resource instanceof Route route && !willExist(requestClass(route))) {
            throw new InvalidChangeException(
                    id.toString(), "refers to an unknown class, " + route.requestClass());
        }
    }

    private static ResourceId requestClass(Route route) {
        return new ResourceId(ResourceKind.REQUEST_CLASS, route.service(), route.requestClass());
    }

    private void checkNothingRefersTo(ResourceId id) throws InvalidChangeException {
        if (id.kind() == ResourceKind.SERVICE) {
            checkServiceIsEmpty(id.service());
        }
        if (id.kind() == ResourceKind.REQUEST_CLASS) {
            checkNoRouteRefersTo(id);
        }
    }

    private void checkServiceIsEmpty(String service) throws InvalidChangeException {
        int existing = state.resourcesOf(service).size();
        long deletions = deleted.stream().filter(id -> id.service().equals(service)).count();
        if (deletions < existing) {
            throw new InvalidChangeException(
                    ResourceId.ofService(service).toString(),
                    "can't be deleted: "
                            + (existing - deletions)
                            + " of its resources would be left");
        }
    }

    private void checkNoRouteRefersTo(ResourceId requestClass) throws InvalidChangeException {
        for (VersionedResource existing : state.resourcesOf(requestClass.service())) {
            if (existing.resource() instanceof Route route
                    && requestClass(route).equals(requestClass)
                    && !deleted.contains(route.id())
                    && !put.contains(route.id())) {
                throw new InvalidChangeException(
                        requestClass.toString(),
                        "can't be deleted: " + route.id() + " leads to it");
            }
        }
    }
}
