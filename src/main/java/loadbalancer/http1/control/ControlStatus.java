package loadbalancer.http1.control;

import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;

/**
 * The status of a control machine, as its status call gives it in JSON.
 *
 * @param machine its name
 * @param role {@code writer} or {@code follower}
 * @param revision of its state
 * @param digest of all resources of its state
 * @param resources how many there are
 * @param distribution the status of its own subscribers, the following machines among them
 * @param followers the last report of each other machine, at the writer only
 */
public record ControlStatus(
        String machine,
        String role,
        Revision revision,
        Digest digest,
        int resources,
        DistributionStatus distribution,
        List<MachineReport> followers) {
    /** Copies the list; an absent one is empty. */
    public ControlStatus {
        followers = followers == null ? List.of() : List.copyOf(followers);
    }
}
