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
    /** How often idle connections are checked: a small part of their idle timeout. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    private final EventLoop loop;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private final ConnectionPool pool;
    private final Connector connector;

    /** With timeouts in microseconds and a limit on connections to all endpoints together. */
    public Http1UpstreamTransport(
            Transport transport,
            long connectTimeoutMicros,
            long connectIdleMicros,
            int maxConnections) {
        this.loop = transport.loop();
        this.pool = new ConnectionPool(transport, endpoints.values(), maxConnections);
        this.connector = new Connector(transport, pool);
        setTimeouts(connectTimeoutMicros, connectIdleMicros);
        RepeatingTask.every(
                loop,
                SWEEP_INTERVAL_MILLIS,
                "closing idle connections to upstreams",
                pool::closeExpired);
    }

    /** Takes over a channel that leads to an endpoint as an idle connection to it. */
    public void adopt(String id, Channel channel) {
        connector.adopt(endpoints.get(id), channel);
    }

    @Override
    public void updateEndpoints(EndpointListUpdate list) {
        if (list.isComplete()) {
            List<String> ids = list.entries().stream().map(EndpointListUpdate.Entry::id).toList();
            List<String> missing = new ArrayList<>(endpoints.keySet());
            missing.removeAll(ids);
            missing.forEach(this::forget);
        }
        for (EndpointListUpdate.Entry entry : list.entries()) {
            if (entry.state() == EndpointState.REMOVED) {
                forget(entry.id());
                continue;
            }
            UpstreamEndpoint endpoint =
                    endpoints.computeIfAbsent(entry.id(), id -> new UpstreamEndpoint());
            if (!endpoint.update(entry)) {
                pool.closeIdle(endpoint);
            }
        }
    }

    private void forget(String id) {
        UpstreamEndpoint endpoint = endpoints.remove(id);
        if (endpoint != null) {
            endpoint.removed();
            pool.closeIdle(endpoint);
        }
    }

    @Override
    public void setTimeouts(long connectTimeoutMicros, long connectIdleMicros) {
        connector.setConnectTimeout(connectTimeoutMicros);
        pool.setUpstreamIdleTimeout(connectIdleMicros);
    }

    /** Idle ones beyond that are closed. */
    @Override
    public void setMaxConnections(int connections) {
        pool.limit(connections);
    }

    @Override
    public int endpointCount() {
        return endpoints.size();
    }

    @Override
    public void closeIdleConnections(String id) {
        if (endpoints.containsKey(id)) {
            pool.closeIdle(endpoints.get(id));
        }
    }

    @Override
    public Attempt start(String id, RequestHead head, RequestBody body, Listener listener) {
        RequestExchange exchange = new RequestExchange(loop, head, body, listener);
        UpstreamEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || !endpoint.isReady()) {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED);
            return exchange;
        }
        UpstreamConnection idle = pool.acquire(endpoint);
        if (idle != null) {
            exchange.begin(idle);
        } else if (pool.makeRoom()) {
            connector.connect(endpoint, exchange);
        } else {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED);
        }
        return exchange;
    }
}
