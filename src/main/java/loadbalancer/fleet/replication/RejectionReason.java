package loadbalancer.fleet.replication;

import java.util.Locale;

/** Why a statement was not taken. */
public enum RejectionReason {
    /** Its member has as many topics as one may have. */
    TOPICS,
    /** Its member has as many bytes as one may have. */
    BYTES,
    /** Too many members that are not on the roster. */
    STRANGERS,
    /** Fragments that make no document. */
    FRAGMENTS;

    /** For a figure's name. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
