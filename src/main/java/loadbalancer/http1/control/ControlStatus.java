package loadbalancer.http1.control;

import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;

/**
 * The status of a control server, which the status call returns as JSON.
 *
 * @param machine the name of the server
 * @param role {@code writer} or {@code follower}
 * @param revision the revision of its state
 * @param digest the digest of all resources in its state
 * @param resources the number of resources in its state
 * @param distribution the status of its own subscribers, which include its followers
 * @param followers the last report of each other server; only the writer has them
 */
public record ControlStatus(
        String machine,
        String role,
        Revision revision,
        Digest digest,
        int resources,
        DistributionStatus distribution,
        List<ControlServerReport> followers) {
    /** Copies the list of followers; null becomes an empty list. */
    public ControlStatus {
        followers = followers == null ? List.of() : List.copyOf(followers);
    }
}
