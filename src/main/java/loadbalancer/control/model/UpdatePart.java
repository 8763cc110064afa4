package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A part of an update, sent as one line of a subscription. A subscriber collects the parts of an
 * update and applies them together once it has received the part with a completion. If several
 * parts contain the same resource, the last one takes precedence.
 *
 * @param from the revision that the update builds on; {@link Revision#NONE} for a snapshot, which
 *     replaces the entire state
 * @param part the number of this part in its update, from 0
 * @param put the resources that were added or replaced since {@code from}
 * @param delete the resources that were deleted since {@code from}
 * @param completion the target of the update, in the last part only; null in all others
 */
public record UpdatePart(
        @JsonProperty(UpdateFieldNames.FROM) Revision from,
        @JsonProperty(UpdateFieldNames.PART) int part,
        @JsonProperty(UpdateFieldNames.PUT) List<VersionedResource> put,
        @JsonProperty(UpdateFieldNames.DELETE) List<ResourceId> delete,
        @JsonProperty(UpdateFieldNames.COMPLETION) @JsonInclude(JsonInclude.Include.NON_NULL)
                Completion completion) {
    /** Copies the lists; an absent list becomes empty. */
    public UpdatePart {
        put = put == null ? List.of() : List.copyOf(put);
        delete = delete == null ? List.of() : List.copyOf(delete);
    }

    /**
     * The target of an update.
     *
     * @param to the revision in force once all parts are applied
     * @param digest of the subscriber's scope at that revision, see {@link ResourceState#digest}
     */
    public record Completion(
            @JsonProperty(UpdateFieldNames.TO) Revision to,
            @JsonProperty(UpdateFieldNames.DIGEST) Digest digest) {}

    /** Returns whether the update replaces the subscriber's entire state. */
    @JsonIgnore
    public boolean isSnapshot() {
        return from.equals(Revision.NONE);
    }

    /** Returns whether this is the last part of the update. */
    @JsonIgnore
    public boolean isLast() {
        return completion != null;
    }
}
