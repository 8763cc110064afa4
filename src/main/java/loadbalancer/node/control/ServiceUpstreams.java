package loadbalancer.node.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointState;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Upstream;
import loadbalancer.node.Config;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;

/**
 * Converts the upstreams of a service to an endpoint list of the form that discovery provides.
 * Stateless.
 */
final class ServiceUpstreams {
    private ServiceUpstreams() {}

    /**
     * Returns a complete list, whose version is the number of the revision.
     *
     * @throws InvalidChangeException if an upstream's address is invalid; the exception names the
     *     upstream
     */
    static EndpointListUpdate list(Revision revision, ServiceResources resources)
            throws InvalidChangeException {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (Upstream upstream : resources.upstreams()) {
            entries.add(entry(upstream));
        }
        return new EndpointListUpdate(revision.number(), true, entries);
    }

    private static EndpointListUpdate.Entry entry(Upstream upstream) throws InvalidChangeException {
        return new EndpointListUpdate.Entry(
                upstream.name(),
                address(upstream),
                upstream.zone(),
                upstream.upstreamKind(),
                upstream.cell(),
                state(upstream.state()),
                upstream.weight(),
                upstream.startedMillis());
    }

    private static InetSocketAddress address(Upstream upstream) throws InvalidChangeException {
        try {
            return Config.address(upstream.address());
        } catch (InvalidInputException e) {
            throw new InvalidChangeException(upstream.id() + " field address", e.getMessage());
        }
    }

    private static EndpointState state(Upstream.State state) {
        return switch (state) {
            case READY -> EndpointState.READY;
            case DRAINING -> EndpointState.DRAINING;
        };
    }
}
