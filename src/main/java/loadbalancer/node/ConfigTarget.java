package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;

/** A running balancer, as whoever changes its configuration sees it; on the loop. */
public interface ConfigTarget {
    /** Settings that hold from now on; they are checked already. */
    void settings(LoadedSettings facts);

    /** The whole list of upstreams, as told from now on. */
    void list(EndpointListUpdate whole);

    /** There is no list to be told. */
    void listUnavailable();
}
