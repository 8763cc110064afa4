package loadbalancer.control.publish;

import loadbalancer.control.model.Revision;

/**
 * A position in the order of last changes, which is by revision and then by sequence number.
 *
 * @param revision the revision of the change
 * @param sequence a number that increases from entry to entry and orders those of one revision
 */
record Position(Revision revision, long sequence) implements Comparable<Position> {
    /** The position before all entries. */
    static final Position START = new Position(Revision.NONE, 0);

    /** Returns the position after all entries of a revision and before those of the next one. */
    static Position endOf(Revision revision) {
        return new Position(revision, Long.MAX_VALUE);
    }

    /** Returns whether this position is before another one. */
    boolean isBefore(Position other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(Position other) {
        int byEpoch = Long.compare(revision.epoch(), other.revision.epoch());
        if (byEpoch != 0) {
            return byEpoch;
        }
        int byNumber = Long.compare(revision.number(), other.revision.number());
        return byNumber != 0 ? byNumber : Long.compare(sequence, other.sequence);
    }
}
