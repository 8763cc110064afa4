package loadbalancer.node;

import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.EndpointTable;
import loadbalancer.snapshot.OversizedSnapshotException;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import loadbalancer.transport.Transport;

/**
 * A copy of the endpoint list in force, taken on the event loop, which any thread may encode.
 * Immutable.
 *
 * @param origin identifier of the list source
 * @param version version of the list at that source
 * @param quietMillis time since the source last sent anything; -1 if it never did
 * @param savedAtMillis Unix time of the copy
 */
record CapturedEndpointList(
        EndpointListUpdate list,
        String origin,
        long version,
        long quietMillis,
        long savedAtMillis) {

    /** Copies the list as it is now. Used on the event loop. */
    static CapturedEndpointList of(
            EndpointTable endpoints, ListSource source, Transport transport) {
        return new CapturedEndpointList(
                endpoints.list(),
                source.origin(),
                source.version(),
                source.quietMillis(),
                transport.wallMillis());
    }

    /**
     * Encodes a snapshot of the list and of measurements of the policy.
     *
     * @throws OversizedSnapshotException if it is too large
     */
    byte[] encodeWith(LoadBalancerSnapshot measurements) throws OversizedSnapshotException {
        return SnapshotFormat.write(
                new Snapshot(
                        savedAtMillis,
                        origin,
                        version,
                        quietMillis,
                        EndpointListSnapshots.listedEndpoints(list),
                        measurements));
    }
}
