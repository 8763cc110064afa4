package loadbalancer.control.publish;

import java.util.List;
import loadbalancer.control.model.Revision;

/**
 * Which revision is in force at the subscribers of a publisher; part of the status in JSON.
 *
 * @param latest the newest revision here
 * @param subscribers connected now
 * @param inForce connected subscribers at which the newest is in force
 * @param behind connected subscribers at which an older one is in force
 * @param oldestInForce the oldest revision in force at a connected subscriber; the newest if there
 *     is none
 * @param rejections the latest rejection of each subscriber that has rejected something newer than
 *     it has in force
 */
public record DistributionStatus(
        Revision latest,
        int subscribers,
        int inForce,
        int behind,
        Revision oldestInForce,
        List<Rejection> rejections) {
    /**
     * An update that a subscriber rejected.
     *
     * @param subscriber its name
     * @param revision that it rejected
     * @param place of what was rejected
     * @param reason why
     */
    public record Rejection(String subscriber, Revision revision, String place, String reason) {}
}
