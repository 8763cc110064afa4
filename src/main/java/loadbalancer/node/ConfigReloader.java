package loadbalancer.node;

import java.io.IOException;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;

/**
 * Changes the configuration of a running node: from the local file on request, or as the overlay
 * pushes it. On the loop.
 */
final class ConfigReloader implements ConfigTarget {
    /** Named after the node, so that log levels set for it hold. */
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
     * Reads the configuration again. All of it is checked before anything changes, and then
     * discovery and the settings change together; the listening and admin addresses are those of
     * the start. A configuration that can't be read or is not valid is logged, and the present one
     * stays.
     */
    void reload() {
        try {
            Config local = dependencies.source().read().reloadedOver(currentConfig.get());
            apply(dependencies.overlay().overlay(local));
            components.discovery().move(currentConfig.get().discovery());
            dependencies.metrics().configurationLoaded(true);
            LOG.log(System.Logger.Level.INFO, "took the new configuration");
        } catch (IOException | InvalidInputException | RuntimeException e) {
            dependencies.metrics().configurationLoaded(false);
            LOG.log(
                    System.Logger.Level.WARNING,
                    "kept the old configuration: " + Main.firstLine(e));
        }
    }

    @Override
    public void applySettings(LoadedSettings settings) {
        apply(currentConfig.get().with(settings));
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
