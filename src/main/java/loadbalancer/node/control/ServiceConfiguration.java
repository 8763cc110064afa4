package loadbalancer.node.control;

import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.UpdateConsumer;
import loadbalancer.node.Config;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.ControlSubscription;
import loadbalancer.settings.ControlSubscription.ListSource;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;

/**
 * The configuration of a balancer's service: the resources from control, overlaid on the local
 * file. Checks every update as a reload of the file would be checked, before any of it is in force.
 * For one thread; no I/O.
 */
final class ServiceConfiguration implements UpdateConsumer {
    private final String service;
    private final boolean listsUpstreams;
    private final Listener listener;
    private LoadedSettings file;
    private ServiceResources resources = ServiceResources.NONE;
    private LoadedSettings settings;
    private EndpointListUpdate list = EndpointListUpdate.EMPTY;

    /** Receives what has changed. */
    interface Listener {
        /** Checked settings that differ from those before. */
        void settingsChanged(LoadedSettings settings);

        /** An update is in force; the endpoint list may be the same as before. */
        void updateApplied(AppliedUpdate update, ResourceState state);
    }

    /** The configuration with an update that was checked. */
    private record Checked(
            ServiceResources resources, LoadedSettings settings, EndpointListUpdate list) {}

    ServiceConfiguration(ControlSubscription subscription, Listener listener) {
        this.service = subscription.service();
        this.listsUpstreams = subscription.list() == ListSource.CONTROL;
        this.listener = listener;
    }

    /** Whether the endpoint list comes from control. */
    boolean listsUpstreams() {
        return listsUpstreams;
    }

    /** The settings in force. */
    LoadedSettings settings() {
        return settings;
    }

    /** The endpoint list in force; empty before the first. */
    EndpointListUpdate list() {
        return list;
    }

    /** Starts from the local file alone. */
    void startFrom(LoadedSettings localFile) {
        file = localFile;
        settings = localFile;
    }

    /**
     * Starts from the state in force before a restart.
     *
     * @throws InvalidChangeException if it is invalid here; nothing has changed then
     */
    void restore(ResourceState state) throws InvalidChangeException {
        if (!Set.of(service).containsAll(state.services())) {
            throw new InvalidChangeException("state", "holds another service than " + service);
        }
        for (VersionedResource resource : state.resourcesOf(service)) {
            check(resource);
        }
        use(checked(state.revision(), resourcesOf(state)));
    }

    /**
     * The local file was read again.
     *
     * @throws InvalidInputException if it is invalid with the resources from control; nothing has
     *     changed then
     */
    LoadedSettings reload(LoadedSettings localFile) throws InvalidInputException {
        LoadedSettings next = ServiceSettings.over(localFile, resources);
        Config.check(next);
        file = localFile;
        settings = next;
        return next;
    }

    @Override
    public void check(VersionedResource resource) throws InvalidChangeException {
        resource.resource().validate();
    }

    @Override
    public void checkServices(ResourceView after, Set<String> services)
            throws InvalidChangeException {
        ServiceResources next = ServiceResources.of(after.resourcesOf(service));
        requireNotDeleted(next);
        checked(Revision.NONE, next);
    }

    /** A service or its classes, once there, may change but not be deleted. */
    private void requireNotDeleted(ServiceResources next) throws InvalidChangeException {
        ResourceId place = ResourceId.ofService(service);
        if (resources.service() != null && next.service() == null) {
            throw new InvalidChangeException(
                    place.toString(), "is deleted; the state in force is kept");
        }
        if (!resources.classes().isEmpty() && next.classes().isEmpty()) {
            throw new InvalidChangeException(place.toString(), "has all its classes deleted");
        }
    }

    private Checked checked(Revision revision, ServiceResources next)
            throws InvalidChangeException {
        String place = ResourceId.ofService(service).toString();
        LoadedSettings found = ServiceSettings.over(file, next);
        try {
            Config.check(found);
        } catch (InvalidInputException e) {
            throw new InvalidChangeException(place, e.getMessage());
        }
        if (listsUpstreams && next.upstreams().isEmpty()) {
            throw new InvalidChangeException(place, "lists no upstream");
        }
        EndpointListUpdate upstreams =
                listsUpstreams ? ServiceUpstreams.list(revision, next) : EndpointListUpdate.EMPTY;
        return new Checked(next, found, upstreams);
    }

    private void use(Checked next) {
        resources = next.resources();
        settings = next.settings();
        list = next.list();
    }

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        LoadedSettings before = settings;
        try {
            use(checked(update.to(), resourcesOf(state)));
        } catch (InvalidChangeException e) {
            throw new IllegalStateException(
                    "an update that was checked is invalid: " + e.getMessage(), e);
        }
        if (!settings.equals(before)) {
            listener.settingsChanged(settings);
        }
        listener.updateApplied(update, state);
    }

    private ServiceResources resourcesOf(ResourceState state) {
        Stream<Resource> all = state.resourcesOf(service).stream().map(VersionedResource::resource);
        return ServiceResources.of(all);
    }
}
