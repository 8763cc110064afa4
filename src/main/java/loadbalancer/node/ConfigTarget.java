package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;

/** Applies configuration changes to a running balancer; used on the event loop. */
public interface ConfigTarget {
    /** Applies settings, which the caller has validated. */
    void applySettings(LoadedSettings settings);

    /**
     * Replaces the endpoint list by a complete one that its source has not confirmed since the
     * start of this process.
     */
    void restoreEndpointList(EndpointListUpdate list);

    /** Replaces the endpoint list by a complete one. */
    void replaceEndpointList(EndpointListUpdate list);

    /** Reports that the source has no endpoint list at present. */
    void endpointListUnavailable();
}
