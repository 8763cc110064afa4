package loadbalancer.fleet.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Names that two machines use at one time. Each machine contradicts the other, so the holder of the
 * name goes back and forth between two boots at two addresses. A machine that was replaced never
 * comes back; late statements of it may still win, so a return or two prove nothing.
 */
final class NameConflicts {
    /**
     * One late statement may win a tie, a second come from behind a partition; with their answers
     * these are four. Two machines go on and on.
     */
    private static final int RETURNS = 5;

    /** Two machines, and two more that were replaced in the meantime. */
    private static final int BOOTS = 4;

    private static final class Contest {
        private final Deque<Long> boots = new ArrayDeque<>();
        private int returns;
        private long last;

        void remember(long boot) {
            boots.remove(boot);
            boots.addLast(boot);
            if (boots.size() > BOOTS) {
                boots.removeFirst();
            }
        }
    }

    private final long silence;
    private final Map<String, Contest> byName = new HashMap<>();

    NameConflicts(long silence) {
        this.silence = silence;
    }

    /** The holder of a name has changed; whether the name has just become contested. */
    boolean changed(long t, Member before, Member after) {
        if (before.boot() == after.boot() || before.address().equals(after.address())) {
            return false;
        }
        Contest contest = byName.computeIfAbsent(after.name(), n -> new Contest());
        contest.last = t;
        boolean back = contest.boots.contains(after.boot());
        contest.remember(before.boot());
        contest.remember(after.boot());
        return back && ++contest.returns == RETURNS;
    }

    boolean contested(String name) {
        Contest contest = byName.get(name);
        return contest != null && contest.returns >= RETURNS;
    }

    /** Ends what has shown no sign for long. */
    void sweep(long t) {
        byName.values().removeIf(c -> t - c.last >= silence);
    }
}
