package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;

/** Receives changes of a running balancer's configuration; on the loop. */
public interface ConfigTarget {
    /** Applies settings, which are validated already. */
    void applySettings(LoadedSettings facts);

    /** Replaces the endpoint list. */
    void replaceEndpointList(EndpointListUpdate list);

    /** No endpoint list can be had. */
    void endpointListUnavailable();
}
