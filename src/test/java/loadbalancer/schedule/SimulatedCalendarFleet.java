package loadbalancer.schedule;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Simulates a fleet in virtual time whose members have separate clocks. Twice a second each member
 * sends its whole replicated state to two others. True time is in microseconds of UTC.
 */
final class SimulatedCalendarFleet {
    static final long SECOND = 1_000_000;
    static final long START = 1_800_000_000L * SECOND;

    private record Event(
            long atMicros, long number, SimulatedCalendarMember member, Runnable run) {}

    /** The factor that a member used for a request. */
    record Use(long atMicros, SimulatedCalendarMember member, double factor) {}

    final SplittableRandom random;
    final List<SimulatedCalendarMember> members = new ArrayList<>();
    final Set<String> roster = new TreeSet<>();

    /** Links that lose all messages, in the form {@code from>to}. */
    final Set<String> cutLinks = new HashSet<>();

    final List<Use> uses = new ArrayList<>();
    double lossRatio;
    long nowMicros = START;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private long number;

    SimulatedCalendarFleet(long seed, int size, long maxClockErrorMicros) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            roster.add("m" + (10 + i));
        }
        int created = 0;
        for (String name : roster) {
            boolean isWrong = created++ < (size - 1) / 3;
            members.add(
                    new SimulatedCalendarMember(
                            this,
                            name,
                            isWrong
                                    ? random.nextLong(2 * maxClockErrorMicros + 1)
                                            - maxClockErrorMicros
                                    : random.nextLong(20_000) - 10_000));
        }
        members.forEach(member -> member.start(SavedCalendar.EMPTY));
    }

    static byte[] text(
            long revision,
            long fromMicros,
            double factor,
            String start,
            String rule,
            String length) {
        return ("revision = "
                        + revision
                        + "\nfrom = "
                        + Instant.ofEpochSecond(fromMicros / SECOND)
                        + "\n"
                        + "[[window]]\nname = \"w\"\nstart = "
                        + start
                        + "\nzone = \"UTC\"\nrrule = \""
                        + rule
                        + "\"\nlength = \""
                        + length
                        + "\"\ntarget = {}\nfactor = "
                        + factor
                        + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a revision with a window that is always in effect; the factor identifies it. */
    static byte[] always(long revision, long from, double factor) {
        return text(revision, from, factor, "2026-01-01T00:00:00", "FREQ=DAILY", "PT24H");
    }

    void at(long time, SimulatedCalendarMember member, Runnable run) {
        events.add(new Event(time, number++, member, run));
    }

    void runTo(long time) {
        while (!events.isEmpty() && events.peek().atMicros <= time) {
            Event event = events.poll();
            nowMicros = Math.max(nowMicros, event.atMicros);
            if (event.member != null && event.member.stoppedUntilMicros > nowMicros) {
                at(
                        event.member.stoppedUntilMicros,
                        event.member,
                        event.run); // a suspended process handles the event after it resumes
            } else {
                event.run.run();
            }
        }
        nowMicros = time;
    }

    void runFor(long span) {
        runTo(nowMicros + span);
    }

    /** Returns the factors that members use now. */
    Set<Double> factors() {
        Set<Double> all = new TreeSet<>();
        members.forEach(member -> all.add(member.factor()));
        return all;
    }

    void partition(Set<SimulatedCalendarMember> side) {
        for (SimulatedCalendarMember from : members) {
            for (SimulatedCalendarMember to : members) {
                if (side.contains(from) != side.contains(to)) {
                    cutLinks.add(link(from, to));
                }
            }
        }
    }

    private static String link(SimulatedCalendarMember from, SimulatedCalendarMember to) {
        return from.name + ">" + to.name;
    }

    /** Delivers after a local network delay, for some messages plus a queueing delay. */
    void send(SimulatedCalendarMember from, SimulatedCalendarMember to, Runnable run) {
        if (random.nextDouble() >= lossRatio && !cutLinks.contains(link(from, to))) {
            long delay =
                    100
                            + random.nextLong(900)
                            + (random.nextInt(20) == 0 ? random.nextLong(40_000) : 0);
            at(nowMicros + delay, to, run);
        }
    }
}
