package loadbalancer.node;

import java.io.IOException;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;

/**
 * Changes the configuration of a running node: reloads the local file on request, and applies what
 * the overlay pushes. Used on the event loop.
 */
final class ConfigReloader implements ConfigTarget {
    /** Named after {@link Node}, so that log levels configured for that class apply. */
    private static final System.Logger LOG = System.getLogger(Node.class.getName());

    private final NodeDependencies dependencies;
    private final NodeComponents components;
    private final CurrentConfig currentConfig;
    private final ListenerLifecycle listener;

    ConfigReloader(
            NodeDependencies dependencies,
            NodeComponents components,
            CurrentConfig currentConfig,
            ListenerLifecycle listener) {
        this.dependencies = dependencies;
        this.components = components;
        this.currentConfig = currentConfig;
        this.listener = listener;
    }

    /**
     * Reloads the configuration. The whole of it is validated before anything changes; discovery
     * and the settings then change together, while the listening and admin addresses remain those
     * of the start. If the configuration can't be read or is not valid, the reason is logged and
     * the one in force stays.
     */
    void reload() {
        try {
            Config local = dependencies.source().read();
            apply(dependencies.overlay().overlay(local));
            components.discovery().changeAddress(currentConfig.get().discovery());
            dependencies.metrics().configurationLoaded(true);
            LOG.log(System.Logger.Level.INFO, "configuration reloaded");
        } catch (IOException | InvalidInputException | RuntimeException e) {
            dependencies.metrics().configurationLoaded(false);
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration not reloaded, the previous one stays in force: "
                            + Main.firstLine(e));
        }
    }

    @Override
    public void applySettings(LoadedSettings settings) {
        apply(currentConfig.get().with(settings));
    }

    @Override
    public void restoreEndpointList(EndpointListUpdate fullList) {
        components.dispatcher().updateEndpoints(EndpointListUpdateType.RESTORED, fullList);
    }

    @Override
    public void replaceEndpointList(EndpointListUpdate fullList) {
        components.dispatcher().updateEndpoints(EndpointListUpdateType.FULL, fullList);
    }

    @Override
    public void endpointListUnavailable() {
        components.dispatcher().endpointListUnavailable();
    }

    private void apply(Config next) {
        currentConfig.set(next);
        var limits = next.facts().settings().limits();
        components
                .upstreams()
                .setTimeouts(limits.connectTimeoutMicros(), limits.idleConnectionTimeoutMicros());
        components.server().updateSettings(next.facts());
        components.dispatcher().updateSettings(next.facts());
        listener.updateShutdownTimings();
    }
}
