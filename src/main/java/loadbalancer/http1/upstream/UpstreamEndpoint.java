package loadbalancer.http1.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;

/** A listed endpoint with its address and its idle connections, the most recently used first. */
final class UpstreamEndpoint {
    private InetSocketAddress address;
    private long startedAtMillis;
    private boolean ready;
    private int incarnation;

    /** The idle connections, managed by {@link ConnectionPool}. */
    final Deque<UpstreamConnection> idle = new ArrayDeque<>();

    /** Applies a list entry and returns whether idle connections may still be used. */
    boolean update(EndpointListUpdate.Entry entry) {
        // A request written to a connection of the previous process ends with a reset and counts as
        // possibly executed.
        boolean replaced =
                !entry.address().equals(address) || entry.startedAtMillis() != startedAtMillis;
        address = entry.address();
        startedAtMillis = entry.startedAtMillis();
        ready = entry.state() == EndpointState.READY;
        incarnation += replaced ? 1 : 0;
        return ready && !replaced;
    }

    /** Marks the endpoint as no longer listed. */
    void markRemoved() {
        ready = false;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether the endpoint accepts new requests. */
    boolean isReady() {
        return ready;
    }

    /** Returns how many processes with this id the endpoint lists have shown so far. */
    int incarnation() {
        return incarnation;
    }

    /** Whether a new request may use a connection that was opened to the given incarnation. */
    boolean accepts(int connectedIncarnation) {
        return ready && incarnation == connectedIncarnation;
    }
}
