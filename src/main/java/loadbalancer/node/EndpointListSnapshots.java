package loadbalancer.node;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.snapshot.ListedEndpoint;
import loadbalancer.snapshot.Snapshot;

/** Converts endpoint lists from and to the form in which snapshots have them. Stateless. */
final class EndpointListSnapshots {
    private static final System.Logger LOG =
            System.getLogger(EndpointListSnapshots.class.getName());

    private EndpointListSnapshots() {}

    /** Returns the entries of a list as a snapshot has them. */
    static List<ListedEndpoint> listedEndpoints(EndpointListUpdate list) {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (EndpointListUpdate.Entry entry : list.entries()) {
            endpoints.add(
                    new ListedEndpoint(
                            entry.id(),
                            entry.address().getHostString() + ":" + entry.address().getPort(),
                            entry.zone(),
                            entry.machineKind(),
                            entry.cell(),
                            entry.state(),
                            entry.capacityWeight(),
                            entry.startedAtMillis()));
        }
        return endpoints;
    }

    /**
     * Returns the list of a snapshot. Endpoints with an invalid address are skipped, each with a
     * warning in the log.
     *
     * @param version version of the list in terms of the current list source
     */
    static EndpointListUpdate list(Snapshot snapshot, long version) {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (ListedEndpoint endpoint : snapshot.listedEndpoints()) {
            try {
                entries.add(entry(endpoint));
            } catch (InvalidInputException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "skipped stored endpoint " + endpoint.id() + ": " + e.getMessage());
            }
        }
        return new EndpointListUpdate(version, true, entries);
    }

    private static EndpointListUpdate.Entry entry(ListedEndpoint endpoint)
            throws InvalidInputException {
        return new EndpointListUpdate.Entry(
                endpoint.id(),
                Config.address(endpoint.address()),
                endpoint.zone(),
                endpoint.machineKind(),
                endpoint.cellIndex(),
                endpoint.state(),
                endpoint.capacityWeight(),
                endpoint.startedAtMillis());
    }
}
