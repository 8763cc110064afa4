package loadbalancer.node;

import loadbalancer.proxy.EndpointDiscovery;

/** A source of endpoint lists; used on the event loop. */
public interface ListSource extends EndpointDiscovery {
    /** Returns the milliseconds since the source last sent anything; -1 if it never did. */
    long quietMillis();

    /**
     * Returns the version of the list in force at the source; 0 if that list is not the source's.
     */
    long version();

    /** Returns an identifier of the source; list versions are comparable within one source only. */
    String origin();
}
