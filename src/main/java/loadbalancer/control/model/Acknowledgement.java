package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a subscriber says of an update: the revision that is in force there, or why it refused one.
 *
 * @param subscriber its name
 * @param status whether the update is in force
 * @param inForce the revision in force now, whatever became of the update
 * @param digest of what is in force
 * @param refused the revision that was refused; null unless rejected
 * @param place of what was refused; null unless rejected
 * @param reason why; null unless rejected
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Acknowledgement(
        String subscriber,
        Status status,
        Revision inForce,
        Digest digest,
        Revision refused,
        String place,
        String reason) {
    /** What became of an update. */
    public enum Status {
        /** It is in force. */
        @JsonProperty("in-force")
        IN_FORCE,
        /** It was refused, and the one before is still in force. */
        @JsonProperty("rejected")
        REJECTED
    }

    /** The update up to that revision is in force. */
    public static Acknowledgement inForce(String subscriber, Revision revision, Digest digest) {
        return new Acknowledgement(subscriber, Status.IN_FORCE, revision, digest, null, null, null);
    }

    /** The update to {@code refused} can't be used; the revision before stays in force. */
    public static Acknowledgement rejected(
            String subscriber,
            Revision inForce,
            Digest digest,
            Revision refused,
            InvalidChangeException why) {
        return new Acknowledgement(
                subscriber, Status.REJECTED, inForce, digest, refused, why.place(), why.reason());
    }
}
