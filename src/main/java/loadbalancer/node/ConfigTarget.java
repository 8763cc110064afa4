package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;

/** Receives changes of a running balancer's configuration; on the loop. */
public interface ConfigTarget {
    /** Applies settings, which are checked already. */
    void settings(LoadedSettings facts);

    /** Replaces the endpoint list. */
    void list(EndpointListUpdate whole);

    /** No endpoint list can be had. */
    void listUnavailable();
}
