package loadbalancer.node;

import loadbalancer.proxy.EndpointDiscovery;

/** Source of endpoint lists; on the loop. */
public interface ListSource extends EndpointDiscovery {
    /** Milliseconds since something was received from the source; -1 if nothing ever was. */
    long quietMillis();

    /** Identifies the source; list versions of one mean nothing to another. */
    String origin();
}
