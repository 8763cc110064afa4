package loadbalancer.control.publish;

import loadbalancer.control.model.Revision;

/**
 * A place in the order of last changes: the revision that last changed an entry, then the entry's
 * sequence in it.
 *
 * @param revision of the change
 * @param sequence that tells the entries of one revision apart; grows from entry to entry
 */
record Position(Revision revision, long sequence) implements Comparable<Position> {
    /** Before every entry. */
    static final Position START = new Position(Revision.NONE, 0);

    /** Behind every entry of a revision and before every entry of the next. */
    static Position endOf(Revision revision) {
        return new Position(revision, Long.MAX_VALUE);
    }

    /** Whether this lies before another position. */
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
