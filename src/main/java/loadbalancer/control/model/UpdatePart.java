package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One line of a subscription: a bounded part of an update. A subscriber collects parts and puts
 * them in force together once it has the one with a completion. A resource may be in several parts;
 * the last one counts.
 *
 * @param from the revision that the update builds on; {@link Revision#NONE} for a snapshot, which
 *     replaces all
 * @param part number of this part, from 0
 * @param put resources added or replaced since
 * @param delete resources deleted since
 * @param completion where the update leads, in its last part only; null in all others
 */
public record UpdatePart(
        @JsonProperty(UpdateFieldNames.FROM) Revision from,
        @JsonProperty(UpdateFieldNames.PART) int part,
        @JsonProperty(UpdateFieldNames.PUT) List<VersionedResource> put,
        @JsonProperty(UpdateFieldNames.DELETE) List<ResourceId> delete,
        @JsonProperty(UpdateFieldNames.COMPLETION) @JsonInclude(JsonInclude.Include.NON_NULL)
                Completion completion) {
    /** Copies the lists; absent ones are empty. */
    public UpdatePart {
        put = put == null ? List.of() : List.copyOf(put);
        delete = delete == null ? List.of() : List.copyOf(delete);
    }

    /**
     * Where an update leads.
     *
     * @param to the revision in force once all parts are applied
     * @param digest of the subscriber's scope at that revision, see {@link ResourceState#digest}
     */
    public record Completion(
            @JsonProperty(UpdateFieldNames.TO) Revision to,
            @JsonProperty(UpdateFieldNames.DIGEST) Digest digest) {}

    /** Whether the update replaces the subscriber's whole state. */
    @JsonIgnore
    public boolean isSnapshot() {
        return from.equals(Revision.NONE);
    }

    /** Whether this is the last part of the update. */
    @JsonIgnore
    public boolean isLast() {
        return completion != null;
    }
}
