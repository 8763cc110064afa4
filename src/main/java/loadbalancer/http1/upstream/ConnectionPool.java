package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import java.util.Collection;
import loadbalancer.transport.Transport;

/**
 * The idle connections of all upstreams, and the count of those that there are, dials under way
 * included.
 */
final class ConnectionPool {
    /**
     * Part of the upstream's idle time after which we drop a connection: never write to a dying
     * one.
     */
    private static final double IDLE_PART = 0.6;

    private final Transport transport;

    /** Those that are listed now. */
    private final Collection<UpstreamEndpoint> servers;

    private long idleNanos;
    private int limit;
    private int open;

    ConnectionPool(Transport transport, Collection<UpstreamEndpoint> servers, int limit) {
        this.transport = transport;
        this.servers = servers;
        this.limit = limit;
    }

    /** After so much idling an upstream closes a connection; microseconds. */
    void idleTime(long micros) {
        idleNanos = (long) (micros * 1_000 * IDLE_PART);
    }

    /** From now on there may be so many connections; idle ones beyond that are closed. */
    void limit(int most) {
        limit = most;
        for (int excess = open - most; excess > 0 && closeOldest(); excess--) {
            continue;
        }
    }

    /** Whether there may be one more connection, if need be for an idle one that is closed. */
    boolean makesRoom() {
        return open < limit || closeOldest();
    }

    /** Counts a connection, or a dial, from now until it is closed. */
    void opened(Channel channel) {
        open++;
        channel.closeFuture().addListener(f -> open--);
    }

    /** An idle connection that can carry a request now; null if there is none. */
    UpstreamConnection take(UpstreamEndpoint server) {
        long now = transport.nanoTime();
        for (UpstreamConnection c = server.idle.poll(); c != null; c = server.idle.poll()) {
            if (c.isFresh(now, idleNanos)) {
                return c;
            }
            c.close();
        }
        return null;
    }

    /** Keeps a connection that carries nothing, or closes it. */
    void release(UpstreamConnection connection) {
        if (connection.isOfUse() && open <= limit) {
            connection.rests();
            connection.server().idle.push(connection);
        } else {
            connection.close();
        }
    }

    /** One that was closed meanwhile. */
    void remove(UpstreamConnection connection) {
        connection.server().idle.remove(connection);
    }

    void closeIdle(UpstreamEndpoint server) {
        while (!server.idle.isEmpty()) {
            server.idle.poll().close();
        }
    }

    /** Closes what has been idle for too long. */
    void sweep() {
        long now = transport.nanoTime();
        for (UpstreamEndpoint server : servers) {
            while (!server.idle.isEmpty() && now - server.idle.peekLast().idleSince() > idleNanos) {
                server.idle.pollLast().close();
            }
        }
    }

    private boolean closeOldest() {
        UpstreamEndpoint oldest = null;
        for (UpstreamEndpoint server : servers) {
            if (!server.idle.isEmpty()
                    && (oldest == null
                            || server.idle.peekLast().idleSince()
                                    < oldest.idle.peekLast().idleSince())) {
                oldest = server;
            }
        }
        if (oldest != null) {
            oldest.idle.pollLast().close();
        }
        return oldest != null;
    }
}
