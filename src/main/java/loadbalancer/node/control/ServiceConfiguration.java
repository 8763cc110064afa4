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
import loadbalancer.settings.SettingsReader;

/**
 * The configuration of a balancer's service: what control gives, laid over the local file. Checks
 * every update as a reload of the file would be checked, before any of it is in force. For one
 * thread; no I/O.
 */
final class ServiceConfiguration implements UpdateConsumer {
    private final String service;
    private final boolean listsUpstreams;
    private final Listener listener;
    private SettingsReader.Found file;
    private ServiceResources resources = ServiceResources.NONE;
    private SettingsReader.Found settings;
    private EndpointListUpdate list = EndpointListUpdate.EMPTY;

    /** Who puts in force what has changed. */
    interface Listener {
        /** Checked settings that differ from those before. */
        void settingsChanged(SettingsReader.Found settings);

        /** An update is in force; the list of upstreams may be the same as before. */
        void updateInForce(AppliedUpdate update, ResourceState state);
    }

    /** What an update makes of the service. */
    private record Checked(
            ServiceResources resources, SettingsReader.Found settings, EndpointListUpdate list) {}

    ServiceConfiguration(ControlSubscription subscription, Listener listener) {
        this.service = subscription.service();
        this.listsUpstreams = subscription.list() == ListSource.CONTROL;
        this.listener = listener;
    }

    /** Whether the list of upstreams comes from control. */
    boolean listsUpstreams() {
        return listsUpstreams;
    }

    /** The settings in force. */
    SettingsReader.Found settings() {
        return settings;
    }

    /** The list of upstreams in force; empty before the first. */
    EndpointListUpdate list() {
        return list;
    }

    /** Starts from the local file alone. */
    void startFrom(SettingsReader.Found localFile) {
        file = localFile;
        settings = localFile;
    }

    /** Starts from what was in force before a restart; if it is refused, nothing has changed. */
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
     * The local file was read again; if it does not go with what control gives, nothing has
     * changed.
     */
    SettingsReader.Found reload(SettingsReader.Found localFile) throws InvalidInputException {
        SettingsReader.Found next = ServiceSettings.over(localFile, resources);
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
        requireNotLost(next);
        checked(Revision.NONE, next);
    }

    /** What control has given once may change, but not go away. */
    private void requireNotLost(ServiceResources next) throws InvalidChangeException {
        ResourceId place = ResourceId.ofService(service);
        if (resources.service() != null && next.service() == null) {
            throw new InvalidChangeException(
                    place.toString(), "is gone; what was in force is kept");
        }
        if (!resources.classes().isEmpty() && next.classes().isEmpty()) {
            throw new InvalidChangeException(place.toString(), "has lost all its classes");
        }
    }

    private Checked checked(Revision revision, ServiceResources next)
            throws InvalidChangeException {
        String place = ResourceId.ofService(service).toString();
        SettingsReader.Found found = ServiceSettings.over(file, next);
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
    public void inForce(AppliedUpdate update, ResourceState state) {
        SettingsReader.Found before = settings;
        try {
            use(checked(update.to(), resourcesOf(state)));
        } catch (InvalidChangeException e) {
            throw new IllegalStateException(
                    "an update that was checked is refused: " + e.getMessage(), e);
        }
        if (!settings.equals(before)) {
            listener.settingsChanged(settings);
        }
        listener.updateInForce(update, state);
    }

    private ServiceResources resourcesOf(ResourceState state) {
        Stream<Resource> all = state.resourcesOf(service).stream().map(VersionedResource::resource);
        return ServiceResources.of(all);
    }
}
