package loadbalancer.http1.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;

/** One listed endpoint: its address, and its idle connections, the last used first. */
final class UpstreamEndpoint {
    private InetSocketAddress address;
    private long startedAtMillis;
    private boolean ready;
    private int incarnation;

    /** Owned by {@link ConnectionPool}. */
    final Deque<UpstreamConnection> idle = new ArrayDeque<>();

    /** Applies an entry of the list, and returns whether idle connections may still be used. */
    boolean update(EndpointListUpdate.Entry entry) {
        // A request written to a connection of the process before ends as a reset, and may count
        // as having run.
        boolean replaced =
                !entry.address().equals(address) || entry.startedAtMillis() != startedAtMillis;
        address = entry.address();
        startedAtMillis = entry.startedAtMillis();
        ready = entry.state() == EndpointState.READY;
        incarnation += replaced ? 1 : 0;
        return ready && !replaced;
    }

    /** It is no longer listed. */
    void removed() {
        ready = false;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether new requests may go to it. */
    boolean isReady() {
        return ready;
    }

    /**
     * Counts the processes that have had this id, one after the other, as far as lists have shown.
     */
    int incarnation() {
        return incarnation;
    }

    /** Whether a new request may use a connection that was opened to that incarnation. */
    boolean accepts(int dialledFor) {
        return ready && incarnation == dialledFor;
    }
}
