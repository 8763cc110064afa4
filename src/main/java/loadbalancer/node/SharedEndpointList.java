package loadbalancer.node;

import java.util.List;
import java.util.Optional;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.EndpointTable;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import loadbalancer.transport.Transport;

/**
 * The endpoint list from discovery, as the two processes of a balancer share it: a snapshot without
 * measurements of the policy. Used on the event loop except for {@link #decode}.
 */
final class SharedEndpointList implements SharedState<SharedEndpointList.Received> {
    private static final LoadBalancerSnapshot NO_MEASUREMENTS =
            new LoadBalancerSnapshot(0, 0, 0, 0, 0, 0, List.of(), List.of());

    /**
     * A complete list as the other process has shared it.
     *
     * @param origin address of the discovery service whose version the list has
     */
    record Received(EndpointListUpdate list, String origin) {}

    private final Transport transport;
    private final Discovery discovery;
    private final EndpointTable endpoints;

    SharedEndpointList(Transport transport, Discovery discovery, EndpointTable endpoints) {
        this.transport = transport;
        this.discovery = discovery;
        this.endpoints = endpoints;
    }

    @Override
    public String name() {
        return "list";
    }

    @Override
    public int maxBytes() {
        return SnapshotFormat.MAX_BYTES;
    }

    /** The version changes without the table when discovery moves to another address. */
    @Override
    public long changeCount() {
        return endpoints.changeCount() + discovery.addressChanges();
    }

    @Override
    public boolean hasLearntSinceStart() {
        return discovery.hasLearntSinceStart();
    }

    @Override
    public Optional<Encoder> encoder() {
        CapturedEndpointList captured = CapturedEndpointList.of(endpoints, discovery, transport);
        return Optional.of(() -> captured.encodeWith(NO_MEASUREMENTS));
    }

    @Override
    public Received decode(byte[] content) throws InvalidStoredFileException {
        Snapshot snapshot = SnapshotFormat.read(content);
        return new Received(
                EndpointListSnapshots.list(snapshot, snapshot.listVersion()),
                snapshot.discoveryAddress());
    }

    @Override
    public void adopt(Received other) {
        discovery.adopt(other.list(), other.origin());
    }
}
