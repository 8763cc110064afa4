package loadbalancer.http1.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;

/** One upstream as listed: where it is, and its idle connections, the last used first. */
final class UpstreamEndpoint {
    private InetSocketAddress addr;
    private long startedMs;
    private boolean ready;
    private int incarnation;

    /** The pool's. */
    final Deque<UpstreamConnection> idle = new ArrayDeque<>();

    /**
     * Takes over what the list says now, and returns whether its idle connections are still of use.
     */
    boolean update(EndpointListUpdate.Entry entry) {
        // Connections to a process that is no more end as a reset, after which a request may have
        // run.
        boolean replaced = !entry.addr().equals(addr) || entry.startedMs() != startedMs;
        addr = entry.addr();
        startedMs = entry.startedMs();
        ready = entry.state() == EndpointState.READY;
        incarnation += replaced ? 1 : 0;
        return ready && !replaced;
    }

    /** It is not listed any more. */
    void gone() {
        ready = false;
    }

    InetSocketAddress addr() {
        return addr;
    }

    /** Whether it takes new requests. */
    boolean isReady() {
        return ready;
    }

    /**
     * Counts the processes that have been there, one after the other, as far as lists have told.
     */
    int incarnation() {
        return incarnation;
    }

    /** Whether a new request may go on a connection that was dialled for that incarnation. */
    boolean takes(int dialledFor) {
        return ready && incarnation == dialledFor;
    }
}
