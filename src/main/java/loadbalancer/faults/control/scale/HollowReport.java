package loadbalancer.faults.control.scale;

import java.util.List;

/**
 * What a process of hollow subscribers says of itself, one JSON object a line.
 *
 * @param subscribers one entry each
 * @param revisions when they came in force; empty in the answer to {@link HollowCommand#STATUS}
 * @param heapBytes used after a collection; 0 in the answer to {@link HollowCommand#STATUS}
 */
public record HollowReport(
        List<SubscriberReport> subscribers,
        List<RevisionTimes.RevisionTime> revisions,
        long heapBytes) {
    /** Copies the lists. */
    public HollowReport {
        subscribers = List.copyOf(subscribers);
        revisions = List.copyOf(revisions);
    }

    /**
     * Of one subscriber.
     *
     * @param name of the subscriber
     * @param revision in force, as text
     * @param digest of what is in force in its scope, as text
     * @param services of its scope; empty for all
     * @param resources that it holds
     * @param updates that came in force
     * @param snapshots among them
     * @param wentBack how often the revision went back
     * @param bytesRead since the last {@link HollowCommand#RESET}
     * @param worstTenSecondBytes the most of them in ten seconds
     */
    public record SubscriberReport(
            String name,
            String revision,
            String digest,
            List<String> services,
            int resources,
            int updates,
            int snapshots,
            int wentBack,
            long bytesRead,
            long worstTenSecondBytes) {}
}
