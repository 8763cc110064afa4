package loadbalancer.node;

import loadbalancer.proxy.EndpointDiscovery;

/** Where a list of upstreams comes from; on the loop. */
public interface ListSource extends EndpointDiscovery {
    /** For how long nothing was heard from there, in milliseconds; -1 if nothing ever was. */
    long quietMs();

    /** Which one it is: versions of its lists mean nothing to another. */
    String origin();
}
