package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
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
 * Manages the HTTP/1.1 connections to upstreams and starts attempts on them. A connection carries
 * one request at a time and is reused for the next one. This class never retries a request.
 */
public final class Http1UpstreamTransport implements UpstreamTransport {
    /** Interval of the idle timeout check, which is short in relation to the timeout. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    private final Transport transport;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private final ConnectionPool pool;
    private final Connector connector;

    /**
     * Creates a transport without endpoints.
     *
     * @param connectTimeoutMicros timeout of a connect
     * @param connectIdleMicros idle time after which endpoints close a connection
     * @param maxConnections limit on the connections to all endpoints together
     */
    public Http1UpstreamTransport(
            Transport transport,
            long connectTimeoutMicros,
            long connectIdleMicros,
            int maxConnections) {
        this.transport = transport;
        this.pool = new ConnectionPool(transport, endpoints.values(), maxConnections);
        this.connector = new Connector(transport, pool);
        setTimeouts(connectTimeoutMicros, connectIdleMicros);
        RepeatingTask.every(
                transport.loop(),
                SWEEP_INTERVAL_MILLIS,
                "closing idle connections to upstreams",
                pool::closeExpired);
    }

    /** Adds a channel that is connected to an endpoint to the pool as an idle connection. */
    public void adopt(String id, Channel channel) {
        connector.adopt(endpoints.get(id), channel);
    }

    @Override
    public void updateEndpoints(EndpointListUpdate list) {
        if (list.isComplete()) {
            List<String> ids = list.entries().stream().map(EndpointListUpdate.Entry::id).toList();
            List<String> missing = new ArrayList<>(endpoints.keySet());
            missing.removeAll(ids);
            missing.forEach(this::removeEndpoint);
        }
        for (EndpointListUpdate.Entry entry : list.entries()) {
            if (entry.state() == EndpointState.REMOVED) {
                removeEndpoint(entry.id());
                continue;
            }
            UpstreamEndpoint endpoint =
                    endpoints.computeIfAbsent(entry.id(), id -> new UpstreamEndpoint());
            if (!endpoint.update(entry)) {
                pool.closeIdle(endpoint);
            }
        }
    }

    private void removeEndpoint(String id) {
        UpstreamEndpoint endpoint = endpoints.remove(id);
        if (endpoint != null) {
            endpoint.markRemoved();
            pool.closeIdle(endpoint);
        }
    }

    @Override
    public void setTimeouts(long connectTimeoutMicros, long connectIdleMicros) {
        connector.setConnectTimeout(connectTimeoutMicros);
        pool.setUpstreamIdleTimeout(connectIdleMicros);
    }

    /** Idle connections that exceed the limit are closed. */
    @Override
    public void setMaxConnections(int connections) {
        pool.setMaxConnections(connections);
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
        RequestExchange exchange = new RequestExchange(transport, head, body, listener);
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
