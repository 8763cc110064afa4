package loadbalancer.fleet.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects names that two machines use at the same time. Each machine refutes the other's
 * statements, so the name alternates between two boot IDs at two addresses. A machine that was
 * replaced does not return, but delayed statements about it may still take precedence for a while,
 * so a few returns are not a conflict. For the thread of {@link Swim}; times are microseconds of
 * its monotonic clock.
 */
final class NameConflicts {
    /** Delayed statements about a replaced machine and their refutations make up to 4 returns. */
    private static final int MIN_RETURNS = 5;

    /** Covers two machines in conflict and two that were replaced in the meantime. */
    private static final int MAX_BOOT_IDS = 4;

    private static final class Alternation {
        private final Deque<Long> recentBootIds = new ArrayDeque<>();
        private int returns;
        private long lastChangeMicros;

        void remember(long bootId) {
            recentBootIds.remove(bootId);
            recentBootIds.addLast(bootId);
            if (recentBootIds.size() > MAX_BOOT_IDS) {
                recentBootIds.removeFirst();
            }
        }
    }

    private final long quietMicros;
    private final Map<String, Alternation> byName = new HashMap<>();

    /** Sets that a conflict ends once the name has not alternated for {@code quietMicros}. */
    NameConflicts(long quietMicros) {
        this.quietMicros = quietMicros;
    }

    /** Records a change of the machine behind a name; returns whether that starts a conflict. */
    boolean onChange(long nowMicros, Member before, Member after) {
        if (before.bootId() == after.bootId() || before.address().equals(after.address())) {
            return false;
        }
        Alternation alternation = byName.computeIfAbsent(after.name(), name -> new Alternation());
        alternation.lastChangeMicros = nowMicros;
        boolean hasReturned = alternation.recentBootIds.contains(after.bootId());
        alternation.remember(before.bootId());
        alternation.remember(after.bootId());
        return hasReturned && ++alternation.returns == MIN_RETURNS;
    }

    boolean hasConflict(String name) {
        Alternation alternation = byName.get(name);
        return alternation != null && alternation.returns >= MIN_RETURNS;
    }

    /** Removes names that have not alternated for the quiet time. */
    void removeExpired(long nowMicros) {
        byName.values().removeIf(a -> nowMicros - a.lastChangeMicros >= quietMicros);
    }
}
