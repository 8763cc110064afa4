package loadbalancer.http1.control;

import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;

/**
 * The answer to a question for the status of a control machine.
 *
 * @param machine its name
 * @param role {@code writer} or {@code follower}
 * @param revision of its state
 * @param digest of all resources of its state
 * @param resources how many there are
 * @param distribution what is in force at its own subscribers, the following machines among them
 * @param followers what the other machines have reported last, at the writer only
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
