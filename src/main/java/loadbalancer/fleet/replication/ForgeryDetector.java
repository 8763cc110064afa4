package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;
import loadbalancer.fleet.replication.Item.Tally;

/**
 * Tells statements in this member's own name that it did not make. Tallies can't be told: an
 * earlier life may have counted more in the same window.
 */
final class ForgeryDetector {
    /**
     * Between two answers: whoever forges all the time must not make this member flood the fleet.
     */
    private static final long REST = 1_000_000;

    private final String self;
    private final Consumer<String> told;
    private long upTo = -1;
    private long notBefore = Long.MIN_VALUE;
    private boolean said;

    ForgeryDetector(String self, Consumer<String> told) {
        this.self = self;
        this.told = told;
    }

    /** Looks at a statement in the own name. */
    void look(Item item, Holding own, long generation) {
        long of = -1;
        if (item instanceof Document d && isForged(d, own, generation)) {
            of = d.incarnation();
        } else if (item instanceof Fragment f && isForged(f, own, generation)) {
            of = f.incarnation();
        } else if (item instanceof Tally t
                && Heartbeat.is(t)
                && (t.window() > generation
                        || t.window() == generation
                                && Heartbeat.count(t) > own.beatIn(generation))) {
            of = t.window();
        }
        upTo = Math.max(upTo, of);
        if (of >= 0 && !said) {
            said = true;
            told.accept(
                    "fleet: another speaks in the name of "
                            + self
                            + ", which is this member's; the name"
                            + " counts in no vote until this member is started anew");
        }
    }

    private static boolean isForged(Document d, Holding own, long generation) {
        Document mine = own.documents.get(d.topic());
        return isBeyond(d.incarnation(), d.version(), mine, generation)
                || isAt(d.incarnation(), d.version(), mine, generation)
                        && !Arrays.equals(mine.body(), d.body());
    }

    private static boolean isForged(Fragment f, Holding own, long generation) {
        Document mine = own.documents.get(f.topic());
        return isBeyond(f.incarnation(), f.version(), mine, generation)
                || isAt(f.incarnation(), f.version(), mine, generation)
                        && f.digest() != HashBuckets.digest(mine.body());
    }

    private static boolean isBeyond(
            long incarnation, long version, Document mine, long generation) {
        return incarnation > generation
                || incarnation == generation
                        && (mine == null
                                || mine.incarnation() < generation
                                || version > mine.version());
    }

    private static boolean isAt(long incarnation, long version, Document mine, long generation) {
        return incarnation == generation
                && mine != null
                && mine.incarnation() == generation
                && version == mine.version();
    }

    /** The generation to go beyond, once and not too often; -1 for none. */
    long answer(long now) {
        if (upTo < 0 || now < notBefore) {
            return -1;
        }
        long of = upTo;
        upTo = -1;
        notBefore = now + REST;
        return of;
    }

    /** When an answer is due that had to wait; never if there is none. */
    long due() {
        return upTo < 0 ? Long.MAX_VALUE : notBefore;
    }
}
