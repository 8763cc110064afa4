package loadbalancer.control.publish;

import java.util.List;
import loadbalancer.control.model.Revision;

/**
 * Summarizes which revisions are in force at the subscribers of a publisher; part of the status in
 * JSON.
 *
 * @param latest the newest revision of the publisher
 * @param subscribers the number of connected subscribers
 * @param inForce the number of connected subscribers with the newest revision in force
 * @param behind the number of connected subscribers with an older revision in force
 * @param oldestInForce the oldest revision in force at a connected subscriber; the newest revision
 *     if no subscriber is connected
 * @param rejections the latest rejection of each subscriber that has rejected a revision newer than
 *     the one it has in force
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
     * @param subscriber the name of the subscriber
     * @param revision the target revision of the rejected update
     * @param place the resource or field that caused the rejection
     * @param reason the reason for the rejection
     */
    public record Rejection(String subscriber, Revision revision, String place, String reason) {}
}
