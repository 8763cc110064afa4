package loadbalancer.fleet.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects names that two machines use at a time. Each machine refutes the other, so the name
 * alternates between two boot IDs at two addresses. A machine that was replaced never returns; late
 * statements about it may still win, so one or two returns prove nothing. For the thread of {@link
 * Swim}; times are microseconds of its monotonic clock.
 */
final class NameConflicts {
    /** Late statements and their refutations make four returns at most. */
    private static final int MIN_RETURNS = 5;

    /** Two machines, and two that were replaced in the meantime. */
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

    /** A conflict ends once the name did not alternate for {@code quietMicros}. */
    NameConflicts(long quietMicros) {
        this.quietMicros = quietMicros;
    }

    /** Records that a name went to another machine; returns whether a conflict has begun. */
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

    /** Ends conflicts that were quiet for long enough. */
    void removeExpired(long nowMicros) {
        byName.values().removeIf(a -> nowMicros - a.lastChangeMicros >= quietMicros);
    }
}
