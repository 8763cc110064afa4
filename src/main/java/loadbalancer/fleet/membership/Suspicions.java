package loadbalancer.fleet.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * How long each suspicion lasts. After Lifeguard it begins long and shrinks with each further
 * member that got no answer either: {@code max - (max - min) * log(C + 1) / log(K + 1)}.
 */
final class Suspicions {
    /** Lifeguard's K: so many independent confirmations bring the least length. */
    static final int CONFIRMATIONS = 3;

    private static final class Timer {
        private final String name;
        private final long began;
        private final long least;
        private final long most;
        private final int needed;
        private final Set<String> by = new HashSet<>();
        private Member strongest;
        private long ends;

        Timer(Member member, long began, long least, long most, int needed) {
            this.name = member.name();
            this.strongest = member;
            this.began = began;
            this.least = least;
            this.most = most;
            this.needed = needed;
            this.ends = began + (needed < 1 ? least : most);
        }
    }

    private final long period;
    private final int factor;
    private final int stretch;
    private final Map<String, Timer> timers = new HashMap<>();
    private final TreeSet<Timer> byEnd =
            new TreeSet<>(Comparator.<Timer>comparingLong(t -> t.ends).thenComparing(t -> t.name));

    Suspicions(SwimSettings settings) {
        period = settings.probePeriod();
        factor = settings.suspicionFactor();
        stretch = settings.suspicionStretch();
    }

    /** The least length among so many members. */
    long least(int fleet) {
        return (long) (factor * Math.log10(Math.max(10, fleet)) * period);
    }

    /** Begins anew unless it is the same incarnation that is suspected already. */
    void begin(long t, Member member, int fleet) {
        Timer old = timers.get(member.name());
        if (old != null && old.strongest.incarnation() == member.incarnation()) {
            return;
        }
        end(member.name());
        long least = least(fleet);
        Timer timer =
                new Timer(member, t, least, least * stretch, Math.min(CONFIRMATIONS, fleet - 2));
        timers.put(member.name(), timer);
        byEnd.add(timer);
    }

    void end(String name) {
        Timer old = timers.remove(name);
        if (old != null) {
            byEnd.remove(old);
        }
    }

    /**
     * That member got no answer either; the first to say so is the one who suspects, not a
     * confirmation.
     */
    void confirm(String name, String by) {
        Timer timer = timers.get(name);
        if (timer != null
                && timer.by.size() <= CONFIRMATIONS
                && timer.by.add(by)
                && timer.needed > 0) {
            double part = Math.log(timer.by.size()) / Math.log(timer.needed + 1.0);
            long length = (long) (timer.most - (timer.most - timer.least) * Math.min(1, part));
            shorten(timer, timer.began + length);
        }
    }

    /**
     * Another holds the suspected for dead or gone.
     *
     * @return whether that is news, to be passed on
     */
    boolean stronger(long t, Member said) {
        Timer timer = timers.get(said.name());
        if (timer == null || MemberRules.LATER.compare(said, timer.strongest) <= 0) {
            return false;
        }
        timer.strongest = said;
        shorten(timer, t + timer.least);
        return true;
    }

    /** Whether it has lasted long enough for another's word to end it: there was time to refute. */
    boolean ripe(long t, String name) {
        Timer timer = timers.get(name);
        return timer != null && t - timer.began >= timer.least / 2;
    }

    private void shorten(Timer timer, long ends) {
        if (ends < timer.ends) {
            byEnd.remove(timer);
            timer.ends = ends;
            byEnd.add(timer);
        }
    }

    long next() {
        return byEnd.isEmpty() ? Long.MAX_VALUE : byEnd.first().ends;
    }

    /** A suspicion that is over: what the member is held for now; null if there is none. */
    Member over(long t) {
        if (next() > t) {
            return null;
        }
        Timer timer = byEnd.pollFirst();
        timers.remove(timer.name);
        Member last = timer.strongest;
        return last.health() == Health.LEFT ? last : last.with(last.incarnation(), Health.DEAD);
    }
}
