package yewyoke.node.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import yewyoke.Balancer.State;
import yewyoke.control.model.InvalidChangeException;
import yewyoke.control.model.Revision;
import yewyoke.control.model.Upstream;
import yewyoke.exchange.ServerList;
import yewyoke.node.Config;
import yewyoke.settings.BadInput;

/** Makes a list of upstreams, as discovery would tell it, of the upstreams of a service. Pure. */
final class ServiceUpstreams {
    private ServiceUpstreams() {}

    /** The whole list; its version is the number of the revision. Fails with the upstream and the reason. */
    static ServerList list(Revision revision, ServiceResources resources) throws InvalidChangeException {
        List<ServerList.Entry> entries = new ArrayList<>();
        for (Upstream upstream : resources.upstreams()) {
            entries.add(entry(upstream));
        }
        return new ServerList(revision.number(), true, entries);
    }

    private static ServerList.Entry entry(Upstream upstream) throws InvalidChangeException {
        return new ServerList.Entry(upstream.name(), address(upstream), upstream.zone(),
                upstream.upstreamKind(), upstream.cell(), state(upstream.state()), upstream.weight(),
                upstream.startedMs());
    }

    private static InetSocketAddress address(Upstream upstream) throws InvalidChangeException {
        try {
            return Config.address(upstream.address());
        } catch (BadInput e) {
            throw new InvalidChangeException(upstream.id() + " field address", e.getMessage());
        }
    }

    private static State state(Upstream.State state) {
        return switch (state) {
            case READY -> State.READY;
            case DRAINING -> State.DRAINING;
        };
    }
}
