package loadbalancer.node;

import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.http1.upstream.Http1UpstreamTransport;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.PolicySetup;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.Transport;

/**
 * The components of one node, wired together but not started. Created and used on the event loop.
 *
 * @param initialList endpoints to use before the first update from {@code listSource}
 * @param discovery follows the configured discovery address; it is not the list source if the
 *     overlay has one of its own
 */
record NodeComponents(
        UpstreamTransport upstreams,
        RequestDispatcher dispatcher,
        StatePersistence persistence,
        EndpointListUpdate initialList,
        Discovery discovery,
        ListSource listSource,
        ClientServer server) {

    /**
     * Creates all components in the order of their dependencies, and reads the stored state.
     *
     * @param isSiblingRunning whether the file descriptors are shared with a sibling process
     */
    static NodeComponents create(
            NodeDependencies dependencies,
            Config config,
            SiblingProcess sibling,
            boolean isSiblingRunning) {
        Transport transport = dependencies.transport();
        dependencies.metrics().enableMemory(transport.memoryQuota());
        ConfigOverlay overlay = dependencies.overlay();
        ConnectionLimits limits = ConnectionLimits.of(config.maxDescriptors(), isSiblingRunning);
        UpstreamTransport upstreams = upstreams(transport, config, limits);
        RequestDispatcher dispatcher =
                dispatcher(
                        transport,
                        config,
                        upstreams,
                        dependencies.metrics(),
                        dependencies.loadBalancers());
        StatePersistence persistence =
                new StatePersistence(transport, dependencies.storage(), sibling, config.listen());
        EndpointListUpdate initialList =
                persistence.load(config.known(), listOrigin(overlay, config));
        Discovery discovery = discovery(transport, config, initialList, dispatcher);
        ListSource listSource = overlay.listSource().orElse(discovery);
        ClientServer server =
                new ClientServer(transport, dispatcher, config.facts(), limits.clients());
        return new NodeComponents(
                upstreams, dispatcher, persistence, initialList, discovery, listSource, server);
    }

    /** Creates the dispatcher that forwards requests by the decisions of a policy. */
    static RequestDispatcher dispatcher(
            Transport transport,
            Config config,
            UpstreamTransport upstreams,
            ProcessMetrics metrics,
            LoadBalancerFactory loadBalancers) {
        return new RequestDispatcher(
                transport,
                config.facts(),
                new PolicySetup(
                        loadBalancers,
                        config.seed(),
                        ConnectionLimits.maxPendingRequests(config.maxDescriptors())),
                config.listen().getHostString(),
                upstreams,
                metrics);
    }

    private static UpstreamTransport upstreams(
            Transport transport, Config config, ConnectionLimits connectionLimits) {
        var limits = config.facts().settings().limits();
        return new Http1UpstreamTransport(
                transport,
                limits.connectTimeoutMicros(),
                limits.idleConnectionTimeoutMicros(),
                connectionLimits.upstreams());
    }

    private static String listOrigin(ConfigOverlay overlay, Config config) {
        return overlay.listSource()
                .map(ListSource::origin)
                .orElse(Discovery.origin(config.discovery()));
    }

    private static Discovery discovery(
            Transport transport,
            Config config,
            EndpointListUpdate initialList,
            RequestDispatcher dispatcher) {
        return new Discovery(
                transport,
                config.discovery(),
                config.facts().settings().isEndpointListOnRequest(),
                initialList.version(),
                dispatcher);
    }
}
