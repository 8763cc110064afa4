package loadbalancer.node;

import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.transport.Transport;

/**
 * The dependencies that a node receives when it is created and uses until it ends.
 *
 * @param source the local configuration, read at the start and at each reload
 * @param transport clock, timers and channels of the node's loop
 * @param metrics counters of the process
 * @param storage where state is persisted
 * @param loadBalancers creates the policy
 * @param overlay configuration that takes precedence over the local one
 */
record NodeDependencies(
        Node.ConfigSource source,
        Transport transport,
        ProcessMetrics metrics,
        StateStorage storage,
        LoadBalancerFactory loadBalancers,
        ConfigOverlay overlay) {}
