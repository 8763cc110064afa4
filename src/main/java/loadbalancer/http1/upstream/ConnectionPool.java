package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import java.util.Collection;
import loadbalancer.transport.Transport;

/**
 * Keeps idle connections to endpoints for reuse, the last used first, and limits how many there are
 * in all, connects under way included. Used on the event loop only.
 */
final class ConnectionPool {
    /**
     * Part of the endpoint's idle timeout after which a connection is closed here, so that no
     * request is written to one that the endpoint is closing.
     */
    private static final double IDLE_TIMEOUT_RATIO = 0.6;

    private final Transport transport;

    /** The endpoints of the present list. */
    private final Collection<UpstreamEndpoint> endpoints;

    private long idleTimeoutNanos;
    private int limit;
    private int open;

    ConnectionPool(Transport transport, Collection<UpstreamEndpoint> endpoints, int limit) {
        this.transport = transport;
        this.endpoints = endpoints;
        this.limit = limit;
    }

    /** The idle time after which endpoints close a connection, in microseconds. */
    void setUpstreamIdleTimeout(long micros) {
        idleTimeoutNanos = (long) (micros * 1_000 * IDLE_TIMEOUT_RATIO);
    }

    /** Sets the limit on connections; idle ones beyond it are closed. */
    void limit(int connectionCount) {
        limit = connectionCount;
        for (int excess = open - connectionCount; excess > 0 && closeOldest(); excess--) {
            continue;
        }
    }

    /** Whether one more connection may be opened; closes the longest idle one if need be. */
    boolean makeRoom() {
        return open < limit || closeOldest();
    }

    /** Counts a connection, or a connect under way, until it is closed. */
    void countUntilClosed(Channel channel) {
        open++;
        channel.closeFuture().addListener(future -> open--);
    }

    /** An idle connection that can carry a request now; null if there is none. */
    UpstreamConnection acquire(UpstreamEndpoint endpoint) {
        long nowNanos = transport.nanoTime();
        for (UpstreamConnection connection = endpoint.idle.poll();
                connection != null;
                connection = endpoint.idle.poll()) {
            if (connection.isFresh(nowNanos, idleTimeoutNanos)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Keeps a connection that carries nothing, or closes it. */
    void release(UpstreamConnection connection) {
        if (connection.isUsable() && open <= limit) {
            connection.becomeIdle();
            connection.endpoint().idle.push(connection);
        } else {
            connection.close();
        }
    }

    /** Forgets a connection that was closed. */
    void remove(UpstreamConnection connection) {
        connection.endpoint().idle.remove(connection);
    }

    void closeIdle(UpstreamEndpoint endpoint) {
        while (!endpoint.idle.isEmpty()) {
            endpoint.idle.poll().close();
        }
    }

    /** Closes connections that have been idle for too long. */
    void closeExpired() {
        long nowNanos = transport.nanoTime();
        for (UpstreamEndpoint endpoint : endpoints) {
            while (!endpoint.idle.isEmpty()
                    && nowNanos - endpoint.idle.peekLast().idleSinceNanos() > idleTimeoutNanos) {
                endpoint.idle.pollLast().close();
            }
        }
    }

    private boolean closeOldest() {
        UpstreamEndpoint oldest = null;
        for (UpstreamEndpoint endpoint : endpoints) {
            if (!endpoint.idle.isEmpty()
                    && (oldest == null
                            || endpoint.idle.peekLast().idleSinceNanos()
                                    < oldest.idle.peekLast().idleSinceNanos())) {
                oldest = endpoint;
            }
        }
        if (oldest != null) {
            oldest.idle.pollLast().close();
        }
        return oldest != null;
    }
}
