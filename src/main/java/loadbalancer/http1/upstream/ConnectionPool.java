package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import java.util.Collection;
import loadbalancer.transport.Transport;

/**
 * Keeps idle connections to endpoints for reuse, the most recently used first, and limits the total
 * number of connections, including those being established. Used on the event loop only.
 */
final class ConnectionPool {
    /**
     * Fraction of the endpoint's idle timeout after which this side closes a connection, so that no
     * request is written to a connection that the endpoint is closing.
     */
    private static final double IDLE_TIMEOUT_RATIO = 0.6;

    private final Transport transport;

    /** The endpoints that are currently listed. */
    private final Collection<UpstreamEndpoint> endpoints;

    private long idleTimeoutNanos;
    private int maxConnections;
    private int openConnections;

    ConnectionPool(
            Transport transport, Collection<UpstreamEndpoint> endpoints, int maxConnections) {
        this.transport = transport;
        this.endpoints = endpoints;
        this.maxConnections = maxConnections;
    }

    /** Sets the idle time after which endpoints close a connection, in microseconds. */
    void setUpstreamIdleTimeout(long micros) {
        idleTimeoutNanos = (long) (micros * 1_000 * IDLE_TIMEOUT_RATIO);
    }

    /** Sets the limit on connections and closes idle ones that exceed it. */
    void setMaxConnections(int connectionCount) {
        maxConnections = connectionCount;
        for (int excess = openConnections - connectionCount;
                excess > 0 && closeLongestIdle();
                excess--) {
            continue;
        }
    }

    /**
     * Returns whether one more connection may be opened; at the limit, closes the connection that
     * has been idle the longest.
     */
    boolean makeRoom() {
        return openConnections < maxConnections || closeLongestIdle();
    }

    /** Counts a connection, which may still be connecting, until it is closed. */
    void countUntilClosed(Channel channel) {
        openConnections++;
        channel.closeFuture().addListener(future -> openConnections--);
    }

    /** Returns an idle connection that can carry a request now; null if there is none. */
    UpstreamConnection acquire(UpstreamEndpoint endpoint) {
        long nowNanos = transport.nanoTime();
        for (UpstreamConnection connection = endpoint.idle.poll();
                connection != null;
                connection = endpoint.idle.poll()) {
            if (connection.isReusable(nowNanos, idleTimeoutNanos)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Returns a connection without a request to the pool, or closes it if it can't be reused. */
    void release(UpstreamConnection connection) {
        if (connection.isUsable() && openConnections <= maxConnections) {
            connection.becomeIdle();
            connection.endpoint().idle.push(connection);
        } else {
            connection.close();
        }
    }

    /** Removes a connection that has been closed. */
    void remove(UpstreamConnection connection) {
        connection.endpoint().idle.remove(connection);
    }

    void closeIdle(UpstreamEndpoint endpoint) {
        while (!endpoint.idle.isEmpty()) {
            endpoint.idle.poll().close();
        }
    }

    /** Closes connections that have exceeded the idle timeout. */
    void closeExpired() {
        long nowNanos = transport.nanoTime();
        for (UpstreamEndpoint endpoint : endpoints) {
            while (!endpoint.idle.isEmpty()
                    && nowNanos - endpoint.idle.peekLast().idleSinceNanos() > idleTimeoutNanos) {
                endpoint.idle.pollLast().close();
            }
        }
    }

    private boolean closeLongestIdle() {
        UpstreamEndpoint longestIdle = null;
        for (UpstreamEndpoint endpoint : endpoints) {
            if (!endpoint.idle.isEmpty()
                    && (longestIdle == null
                            || endpoint.idle.peekLast().idleSinceNanos()
                                    < longestIdle.idle.peekLast().idleSinceNanos())) {
                longestIdle = endpoint;
            }
        }
        if (longestIdle != null) {
            longestIdle.idle.pollLast().close();
        }
        return longestIdle != null;
    }
}
