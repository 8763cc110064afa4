package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A message in which a subscriber acknowledges or rejects an update.
 *
 * @param subscriber the name of the subscriber
 * @param status whether the update is in force
 * @param inForce the revision in force at the subscriber, whether or not the update was rejected
 * @param digest the digest of the resources in force
 * @param rejected the target revision of the rejected update; null unless rejected
 * @param place the resource or field that caused the rejection; null unless rejected
 * @param reason the reason for the rejection; null unless rejected
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Acknowledgement(
        String subscriber,
        Status status,
        Revision inForce,
        Digest digest,
        @JsonProperty(UpdateFieldNames.REJECTED) Revision rejected,
        String place,
        String reason) {
    /** The result of an update at a subscriber. */
    public enum Status {
        /** The update is in force. */
        @JsonProperty("in-force")
        IN_FORCE,
        /** The update was rejected; the previous revision remains in force. */
        @JsonProperty("rejected")
        REJECTED
    }

    /** Returns an acknowledgement that {@code revision} is in force. */
    public static Acknowledgement inForce(String subscriber, Revision revision, Digest digest) {
        return new Acknowledgement(subscriber, Status.IN_FORCE, revision, digest, null, null, null);
    }

    /** Returns a rejection of the update to {@code rejected}; {@code inForce} stays in force. */
    public static Acknowledgement rejected(
            String subscriber,
            Revision inForce,
            Digest digest,
            Revision rejected,
            InvalidChangeException cause) {
        return new Acknowledgement(
                subscriber,
                Status.REJECTED,
                inForce,
                digest,
                rejected,
                cause.place(),
                cause.reason());
    }
}
