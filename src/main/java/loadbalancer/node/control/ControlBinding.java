package loadbalancer.node.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.node.Config;
import loadbalancer.node.ConfigOverlay;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.ListSource;
import loadbalancer.node.SharedState;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.ControlMetrics;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.ControlSubscription;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.Transport;

/**
 * Binds a balancer to control servers: restores the state that was in force before a restart,
 * subscribes to changes, applies each update to the balancer and stores it. Used on the balancer's
 * event loop only.
 */
public final class ControlBinding implements ConfigOverlay {
    private static final System.Logger LOG = System.getLogger(ControlBinding.class.getName());

    /**
     * Number of resources that one slice of work processes, so that a slice occupies the event loop
     * for less than 1 ms.
     */
    private static final int SLICE_RESOURCES = 64;

    private static final int MAX_STATE_BYTES = 32 << 20;

    /** Silence after which a connection is closed: three heartbeat intervals of a publisher. */
    private static final long SILENCE_TIMEOUT_MILLIS = 6_000;

    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 4_000;

    private final Transport transport;
    private final ControlSubscription subscription;
    private final SubscriptionTransport connections;
    private final Consumer<SubscriptionEvents> registerListener;
    private final ControlMetrics metrics;
    private final ServiceConfiguration configuration;
    private final ControlStatePersistence persistence;
    private final ControlEndpointListSource list;
    private final SharedControlState shared =
            new SharedControlState(() -> this.runner.stateInForce(), this::adopt);
    private ResourceState restored = new ResourceState();

    /** Revision of the configuration in force; {@link Revision#NONE} before the first. */
    private Revision revisionInForce = Revision.NONE;

    /** State of the sibling process that waits for an update in progress; null for none. */
    private ResourceState postponed;

    private ConfigTarget balancer;
    private ControlSubscriptionRunner runner;

    /**
     * Creates a binding that subscribes over the given connections.
     *
     * @param registerListener called with the receiver of subscription events before the first
     *     subscription is opened
     */
    ControlBinding(
            Transport transport,
            ControlSubscription subscription,
            StateStorage storage,
            ProcessMetrics processMetrics,
            SubscriptionTransport connections,
            Consumer<SubscriptionEvents> registerListener) {
        this.transport = transport;
        this.subscription = subscription;
        this.connections = connections;
        this.registerListener = registerListener;
        this.metrics = processMetrics.enableControl();
        this.configuration = new ServiceConfiguration(subscription, new UpdateListener());
        this.persistence =
                new ControlStatePersistence(
                        stateFiles(storage), transport.loop(), storage.writer());
        this.list = new ControlEndpointListSource(transport, subscription.service());
    }

    /**
     * Creates a binding that subscribes over HTTP. Neither reads the stored state nor connects yet.
     *
     * @throws InvalidInputException if the address of a control server is invalid
     */
    public static ControlBinding create(
            Transport transport,
            ControlSubscription subscription,
            StateStorage storage,
            ProcessMetrics processMetrics)
            throws InvalidInputException {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (String server : subscription.servers()) {
            servers.add(Config.address(server));
        }
        ControlClient client = new ControlClient(transport, servers);
        return new ControlBinding(
                transport, subscription, storage, processMetrics, client, client::listen);
    }

    /** Returns the files that store the state; null if no state is to be stored. */
    private AppliedStateFiles stateFiles(StateStorage storage) {
        if (storage.disk() == null) {
            return null;
        }
        String name = "control-" + subscription.name().replaceAll("\\W+", "-") + ".state";
        String writer = Long.toHexString(transport.random().nextLong());
        return new AppliedStateFiles(storage.disk(), name, writer, MAX_STATE_BYTES);
    }

    @Override
    public Config atStart(Config file) {
        configuration.startFrom(file.facts());
        restore(persistence.read());
        Config merged = file.with(configuration.settings());
        return configuration.list().entries().isEmpty()
                ? merged
                : merged.withKnown(configuration.list());
    }

    private void restore(ResourceState stored) {
        if (stored.revision().equals(Revision.NONE)) {
            return;
        }
        try {
            configuration.restore(stored);
            restored = stored;
            list.restore(configuration.list());
            recordRevision(stored.revision());
        } catch (InvalidChangeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "stored control state is not usable; starting without it: " + e.getMessage());
        }
    }

    @Override
    public Config overlay(Config file) throws InvalidInputException {
        return file.with(configuration.reload(file.facts()));
    }

    @Override
    public Optional<ListSource> listSource() {
        return configuration.listsUpstreams() ? Optional.of(list) : Optional.empty();
    }

    @Override
    public void start(ConfigTarget target) {
        balancer = target;
        list.setTarget(target);
        SubscriptionObserver observer = new SubscriptionObserver(transport, connections, metrics);
        runner =
                new ControlSubscriptionRunner(
                        transport,
                        state ->
                                new Subscriber(
                                        subscriberSettings(),
                                        state,
                                        configuration,
                                        observer,
                                        transport.random()),
                        restored,
                        observer,
                        list,
                        this::isMissingList);
        registerListener.accept(runner);
    }

    private boolean isMissingList() {
        return configuration.listsUpstreams() && configuration.list().entries().isEmpty();
    }

    @Override
    public Optional<SharedState<?>> sharedState() {
        return Optional.of(shared);
    }

    /**
     * Puts a state in force that the sibling process has shared, unless it is not newer than this
     * process's. The sibling has checked it as an update and stores it. While an update is partly
     * applied, the state waits for the next call of {@link #setLeading}.
     */
    private void adopt(ResourceState other) {
        postponed = null;
        if (!other.revision().isAfter(revisionInForce)) {
            return;
        }
        if (runner.stateInForce().isEmpty()) {
            postponed = other;
            return;
        }
        LoadedSettings before = configuration.settings();
        try {
            configuration.restore(other);
        } catch (InvalidChangeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored the control state of the sibling process: " + e.getMessage());
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "took revision " + other.revision() + " from the sibling process");
        runner.replaceState(other);
        if (!configuration.settings().equals(before)) {
            balancer.applySettings(configuration.settings());
        }
        if (configuration.listsUpstreams()) {
            list.adopt(configuration.list());
        }
        recordRevision(other.revision());
        shared.changed();
    }

    @Override
    public void setLeading(boolean leads) {
        runner.setLeading(leads);
        if (postponed != null) {
            adopt(postponed);
        }
    }

    private SubscriberSettings subscriberSettings() {
        return new SubscriberSettings(
                subscription.name(),
                subscription.zone(),
                Scope.of(subscription.service()),
                subscription.servers().size(),
                SLICE_RESOURCES,
                SILENCE_TIMEOUT_MILLIS,
                INITIAL_RETRY_DELAY_MILLIS,
                MAX_RETRY_DELAY_MILLIS);
    }

    private void recordRevision(Revision revision) {
        revisionInForce = revision;
        metrics.revisionApplied(revision.epoch(), revision.number());
    }

    /**
     * Applies changed settings and endpoint lists to the balancer, and stores each applied state.
     */
    private final class UpdateListener implements ServiceConfiguration.Listener {
        @Override
        public void settingsChanged(LoadedSettings settings) {
            balancer.applySettings(settings);
        }

        @Override
        public void updateApplied(AppliedUpdate update, ResourceState state) {
            if (configuration.listsUpstreams()) {
                list.update(configuration.list());
            }
            recordRevision(update.to());
            persistence.save(state);
            shared.changed();
        }
    }
}
