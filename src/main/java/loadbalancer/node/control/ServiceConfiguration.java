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
 * Holds the configuration of a balancer's service: the resources from control servers, overlaid on
 * the local file. Checks an update by the same rules as a reload of the file, before any part of it
 * takes effect. Not thread-safe; performs no I/O.
 */
final class ServiceConfiguration implements UpdateConsumer {
    private final String service;
    private final boolean listsUpstreams;
    private final Listener listener;
    private LoadedSettings file;
    private ServiceResources resources = ServiceResources.NONE;
    private LoadedSettings settings;
    private EndpointListUpdate list = EndpointListUpdate.EMPTY;

    /** Receives configuration changes. */
    interface Listener {
        /** Called with checked settings that differ from the previous ones. */
        void settingsChanged(LoadedSettings settings);

        /** Called after an update has taken effect; the endpoint list may be unchanged. */
        void updateApplied(AppliedUpdate update, ResourceState state);
    }

    /** The configuration that results from an update, after its check. */
    private record CheckedConfiguration(
            ServiceResources resources, LoadedSettings settings, EndpointListUpdate list) {}

    ServiceConfiguration(ControlSubscription subscription, Listener listener) {
        this.service = subscription.service();
        this.listsUpstreams = subscription.list() == ListSource.CONTROL;
        this.listener = listener;
    }

    /** Returns whether the endpoint list comes from control servers instead of discovery. */
    boolean listsUpstreams() {
        return listsUpstreams;
    }

    /** Returns the settings in force. */
    LoadedSettings settings() {
        return settings;
    }

    /** Returns the endpoint list in force; empty before the first update. */
    EndpointListUpdate list() {
        return list;
    }

    /**
     * Sets the local file, whose settings are in force until there are resources from control
     * servers.
     */
    void startFrom(LoadedSettings localFile) {
        file = localFile;
        settings = localFile;
    }

    /**
     * Restores the state that was in force before a restart.
     *
     * @throws InvalidChangeException if the state is invalid for this service; the configuration is
     *     unchanged then
     */
    void restore(ResourceState state) throws InvalidChangeException {
        if (!Set.of(service).containsAll(state.services())) {
            throw new InvalidChangeException(
                    "state", "contains resources of a service other than " + service);
        }
        for (VersionedResource resource : state.resourcesOf(service)) {
            check(resource);
        }
        useConfiguration(checkedConfiguration(state.revision(), resourcesOf(state)));
    }

    /**
     * Overlays the resources in force on a local file that was read again, and returns the new
     * settings.
     *
     * @throws InvalidInputException if the result is invalid; the configuration is unchanged then
     */
    LoadedSettings reload(LoadedSettings localFile) throws InvalidInputException {
        LoadedSettings next = ServiceSettings.overlay(localFile, resources);
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
        checkedConfiguration(Revision.NONE, next);
    }

    /**
     * Rejects an update that deletes the service or all of its classes; both may be changed but not
     * deleted.
     */
    private void requireNotDeleted(ServiceResources next) throws InvalidChangeException {
        ResourceId place = ResourceId.ofService(service);
        if (resources.service() != null && next.service() == null) {
            throw new InvalidChangeException(
                    place.toString(), "must not be deleted; the state in force is kept");
        }
        if (!resources.classes().isEmpty() && next.classes().isEmpty()) {
            throw new InvalidChangeException(
                    place.toString(), "must keep at least one request class");
        }
    }

    private CheckedConfiguration checkedConfiguration(Revision revision, ServiceResources next)
            throws InvalidChangeException {
        String place = ResourceId.ofService(service).toString();
        LoadedSettings merged = ServiceSettings.overlay(file, next);
        try {
            Config.check(merged);
        } catch (InvalidInputException e) {
            throw new InvalidChangeException(place, e.getMessage());
        }
        if (listsUpstreams && next.upstreams().isEmpty()) {
            throw new InvalidChangeException(place, "has no upstream; at least one is required");
        }
        EndpointListUpdate upstreams =
                listsUpstreams ? ServiceUpstreams.list(revision, next) : EndpointListUpdate.EMPTY;
        return new CheckedConfiguration(next, merged, upstreams);
    }

    private void useConfiguration(CheckedConfiguration next) {
        resources = next.resources();
        settings = next.settings();
        list = next.list();
    }

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        LoadedSettings before = settings;
        try {
            useConfiguration(checkedConfiguration(update.to(), resourcesOf(state)));
        } catch (InvalidChangeException e) {
            throw new IllegalStateException(
                    "update passed its check but is invalid when applied: " + e.getMessage(), e);
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
