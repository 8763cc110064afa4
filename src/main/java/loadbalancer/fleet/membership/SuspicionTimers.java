package loadbalancer.fleet.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The timeouts of suspicions. As in Lifeguard, a timeout starts at its maximum and shrinks with
 * each of the C members that confirm the suspicion: {@code max - (max - min) * log(C + 1) / log(K +
 * 1)}. For the thread of {@link Swim}; times are microseconds of its monotonic clock.
 */
final class SuspicionTimers {
    /** Lifeguard's K: number of independent confirmations that give the shortest timeout. */
    static final int MAX_CONFIRMATIONS = 3;

    private static final class Timer {
        private final String name;
        private final long startMicros;
        private final long minMicros;
        private final long maxMicros;
        private final int neededConfirmations;
        private final Set<String> confirmedBy = new HashSet<>();
        private Member latestStatement;
        private long expiryMicros;

        Timer(
                Member member,
                long startMicros,
                long minMicros,
                long maxMicros,
                int neededConfirmations) {
            this.name = member.name();
            this.latestStatement = member;
            this.startMicros = startMicros;
            this.minMicros = minMicros;
            this.maxMicros = maxMicros;
            this.neededConfirmations = neededConfirmations;
            this.expiryMicros = startMicros + (neededConfirmations < 1 ? minMicros : maxMicros);
        }
    }

    private final long probeIntervalMicros;
    private final int multiplier;
    private final int maxTimeoutMultiplier;
    private final Map<String, Timer> byName = new HashMap<>();
    private final TreeSet<Timer> byExpiry =
            new TreeSet<>(
                    Comparator.<Timer>comparingLong(timer -> timer.expiryMicros)
                            .thenComparing(timer -> timer.name));

    SuspicionTimers(SwimSettings settings) {
        probeIntervalMicros = settings.probeIntervalMicros();
        multiplier = settings.suspicionMultiplier();
        maxTimeoutMultiplier = settings.suspicionMaxTimeoutMultiplier();
    }

    /** Returns the shortest timeout in a fleet of that size. */
    long minTimeoutMicros(int fleetSize) {
        return (long) (multiplier * Math.log10(Math.max(10, fleetSize)) * probeIntervalMicros);
    }

    /** Starts a timer, unless one of the same incarnation is running. */
    void start(long nowMicros, Member member, int fleetSize) {
        Timer old = byName.get(member.name());
        if (old != null && old.latestStatement.incarnation() == member.incarnation()) {
            return;
        }
        cancel(member.name());
        long minMicros = minTimeoutMicros(fleetSize);
        Timer timer =
                new Timer(
                        member,
                        nowMicros,
                        minMicros,
                        minMicros * maxTimeoutMultiplier,
                        Math.min(MAX_CONFIRMATIONS, fleetSize - 2));
        byName.put(member.name(), timer);
        byExpiry.add(timer);
    }

    void cancel(String name) {
        Timer old = byName.remove(name);
        if (old != null) {
            byExpiry.remove(old);
        }
    }

    /**
     * Shortens a timer for a further member that suspects {@code name}. The first member that calls
     * this is the accuser, which is not a confirmation.
     */
    void confirm(String name, String confirmingName) {
        Timer timer = byName.get(name);
        if (timer != null
                && timer.confirmedBy.size() <= MAX_CONFIRMATIONS
                && timer.confirmedBy.add(confirmingName)
                && timer.neededConfirmations > 0) {
            double fraction =
                    Math.log(timer.confirmedBy.size()) / Math.log(timer.neededConfirmations + 1.0);
            long timeoutMicros =
                    (long)
                            (timer.maxMicros
                                    - (timer.maxMicros - timer.minMicros) * Math.min(1, fraction));
            shorten(timer, timer.startMicros + timeoutMicros);
        }
    }

    /**
     * Handles another member's statement that the suspect is dead or has left.
     *
     * @return whether the statement is new and must be gossiped
     */
    boolean onAbsenceStated(long nowMicros, Member stated) {
        Timer timer = byName.get(stated.name());
        if (timer == null
                || MemberPrecedence.BY_RECENCY.compare(stated, timer.latestStatement) <= 0) {
            return false;
        }
        timer.latestStatement = stated;
        shorten(timer, nowMicros + timer.minMicros);
        return true;
    }

    /** Returns whether the suspect had time to refute, so that others may declare it dead. */
    boolean hadTimeToRefute(long nowMicros, String name) {
        Timer timer = byName.get(name);
        return timer != null && nowMicros - timer.startMicros >= timer.minMicros / 2;
    }

    private void shorten(Timer timer, long expiryMicros) {
        if (expiryMicros < timer.expiryMicros) {
            byExpiry.remove(timer);
            timer.expiryMicros = expiryMicros;
            byExpiry.add(timer);
        }
    }

    long nextWakeMicros() {
        return byExpiry.isEmpty() ? Long.MAX_VALUE : byExpiry.first().expiryMicros;
    }

    /** Removes an expired timer; returns its member as dead or left, null if none has expired. */
    Member pollExpired(long nowMicros) {
        if (nextWakeMicros() > nowMicros) {
            return null;
        }
        Timer timer = byExpiry.pollFirst();
        byName.remove(timer.name);
        Member last = timer.latestStatement;
        return last.health() == Health.LEFT ? last : last.with(last.incarnation(), Health.DEAD);
    }
}
