package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.RequestHead;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * The connections to upstreams, and the attempts on them. A connection carries one request at a
 * time and is kept for the next one; nothing is ever sent again from here.
 */
public final class Http1UpstreamTransport implements UpstreamTransport {
    /**
     * How often idle connections are looked at: a small part of the time for which they are kept.
     */
    private static final long SWEEP_MS = 250;

    private final EventLoop loop;
    private final Map<String, UpstreamEndpoint> servers = new HashMap<>();
    private final ConnectionPool pool;
    private final Connector dialler;

    /** Times are microseconds; at most so many connections at a time. */
    public Http1UpstreamTransport(
            Transport transport,
            long connectTimeoutMicros,
            long connectIdleMicros,
            int maxConnections) {
        this.loop = transport.loop();
        this.pool = new ConnectionPool(transport, servers.values(), maxConnections);
        this.dialler = new Connector(transport, pool);
        times(connectTimeoutMicros, connectIdleMicros);
        RepeatingTask.every(loop, SWEEP_MS, "closing idle connections to upstreams", pool::sweep);
    }

    /** Takes over a channel that leads to an upstream as an idle connection to it. */
    public void adopt(String id, Channel channel) {
        dialler.adopt(servers.get(id), channel);
    }

    @Override
    public void apply(EndpointListUpdate list) {
        if (list.full()) {
            List<String> ids = list.entries().stream().map(EndpointListUpdate.Entry::id).toList();
            List<String> missing = new ArrayList<>(servers.keySet());
            missing.removeAll(ids);
            missing.forEach(this::forget);
        }
        for (EndpointListUpdate.Entry e : list.entries()) {
            if (e.state() == EndpointState.REMOVED) {
                forget(e.id());
                continue;
            }
            UpstreamEndpoint server = servers.computeIfAbsent(e.id(), id -> new UpstreamEndpoint());
            if (!server.update(e)) {
                pool.closeIdle(server);
            }
        }
    }

    private void forget(String id) {
        UpstreamEndpoint server = servers.remove(id);
        if (server != null) {
            server.gone();
            pool.closeIdle(server);
        }
    }

    @Override
    public void times(long connectTimeoutMicros, long connectIdleMicros) {
        dialler.timeout(connectTimeoutMicros);
        pool.idleTime(connectIdleMicros);
    }

    /** Idle ones beyond that are closed. */
    @Override
    public void limit(int most) {
        pool.limit(most);
    }

    @Override
    public int listed() {
        return servers.size();
    }

    @Override
    public void closeIdle(String id) {
        if (servers.containsKey(id)) {
            pool.closeIdle(servers.get(id));
        }
    }

    @Override
    public Attempt start(String id, RequestHead head, RequestBody body, Listener listener) {
        RequestExchange exchange = new RequestExchange(loop, head, body, listener);
        UpstreamEndpoint server = servers.get(id);
        if (server == null || !server.isReady()) {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED);
            return exchange;
        }
        UpstreamConnection idle = pool.take(server);
        if (idle != null) {
            exchange.begin(idle);
        } else if (pool.makesRoom()) {
            dialler.dial(server, exchange);
        } else {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED);
        }
        return exchange;
    }
}
