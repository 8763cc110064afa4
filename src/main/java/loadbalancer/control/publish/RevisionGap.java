package loadbalancer.control.publish;

import loadbalancer.control.model.Revision;

/**
 * Revisions whose changes a publisher has not received one by one, both ends exclusive: what was
 * added and deleted again between them is unknown.
 *
 * @param before the last revision before the gap
 * @param after the first revision after it
 */
record RevisionGap(Revision before, Revision after) {
    /** Whether a revision lies inside. */
    boolean contains(Revision revision) {
        return revision.isAfter(before) && after.isAfter(revision);
    }
}
