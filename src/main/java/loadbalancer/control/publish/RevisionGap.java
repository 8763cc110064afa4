package loadbalancer.control.publish;

import loadbalancer.control.model.Revision;

/**
 * A range of revisions, both ends exclusive, whose changes the publisher received only as a whole.
 * Resources that were added and deleted again within the range are unknown to it.
 *
 * @param before the last revision before the gap
 * @param after the first revision after the gap
 */
record RevisionGap(Revision before, Revision after) {
    /** Returns whether a revision is inside the gap. */
    boolean contains(Revision revision) {
        return revision.isAfter(before) && after.isAfter(revision);
    }
}
