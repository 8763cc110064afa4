package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A subscriber acknowledges or rejects an update.
 *
 * @param subscriber its name
 * @param status whether the update is in force
 * @param inForce the revision in force now, whether or not the update was rejected
 * @param digest of what is in force
 * @param rejected the revision that was rejected; null unless rejected
 * @param place of what was rejected; null unless rejected
 * @param reason why; null unless rejected
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
    /** The result of an update. */
    public enum Status {
        /** It is in force. */
        @JsonProperty("in-force")
        IN_FORCE,
        /** It was rejected, and the one before is still in force. */
        @JsonProperty("rejected")
        REJECTED
    }

    /** The update up to that revision is in force. */
    public static Acknowledgement inForce(String subscriber, Revision revision, Digest digest) {
        return new Acknowledgement(subscriber, Status.IN_FORCE, revision, digest, null, null, null);
    }

    /** The update to {@code rejected} can't be used; the revision before stays in force. */
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
