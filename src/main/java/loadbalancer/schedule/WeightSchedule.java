package loadbalancer.schedule;

import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.Agreement;
import loadbalancer.schedule.agreement.InForce;
import loadbalancer.schedule.clock.FleetClock;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.Factors;
import loadbalancer.schedule.window.InvalidScheduleException;
import loadbalancer.schedule.window.Revision;
import loadbalancer.schedule.window.Timetable;

/**
 * The calendar of one member: file and statements in, factors out. {@code now} is microseconds of
 * the monotonic clock, {@code wall} of the one that shows UTC. One thread; nothing in here waits.
 */
public final class WeightSchedule implements SharedState.Listener {
    private final SharedState shared;
    private final Consumer<String> lines;
    private final FleetClock clock;
    private final Agreement agreement;
    private Factors factors = Factors.NEUTRAL.until(Long.MIN_VALUE);
    private Timetable timetable;
    private Revision tabled;
    // What was last read from the timetable, and from when on it holds by the fleet's time.
    private Factors read = Factors.NEUTRAL.until(Long.MIN_VALUE);
    private long readAt;
    private InForce told = new InForce(InForce.State.NONE, 0, null, 0);

    /** Starts at {@code now}; {@code lines} gets what operators should read. */
    public WeightSchedule(long now, long wall, SharedState shared, Consumer<String> lines) {
        this.shared = shared;
        this.lines = line -> lines.accept("calendar: " + line);
        this.clock = new FleetClock(shared.roster().size(), this.lines);
        this.agreement = new Agreement(now, shared, this.lines);
        clock.tick(now, wall);
        shared.addListener(this);
    }

    /** The operators' file was read; says so in a line if it is not taken. */
    public void file(long now, Revision revision) {
        String refused = agreement.hold(now, revision);
        lines.accept(
                refused.isEmpty()
                        ? "holds revision " + revision.number() + " " + revision.digest()
                        : refused);
        expire();
    }

    /** To be called about once a second. */
    public void tick(long now, long wall) {
        clock.tick(now, wall);
        agreement.heard(now);
        expire();
    }

    /**
     * A sample of a peer's clock, its wall clock less ours. One whose name is contested does not
     * count.
     */
    public void timed(long now, String member, long offset, long roundTrip) {
        if (shared.isEligibleVoter(member)) {
            clock.timed(now, member, offset, roundTrip);
            expire();
        }
    }

    @Override
    public void itemChanged(long now, Item item) {
        if (Agreement.concerns(item)) {
            agreement.heard(now);
            expire();
        }
    }

    /** The fleet's time, microseconds of UTC. */
    public long time(long now) {
        return clock.at(now);
    }

    /** What is to be kept over a restart; hand it to {@link #recall} before the file. */
    public SavedCalendar kept() {
        return new SavedCalendar(agreement.agreedTexts(), agreement.ownTexts());
    }

    /** What was kept before the restart; a line for each text that can't be used any more. */
    public void recall(long now, SavedCalendar kept) {
        for (byte[] text : kept.agreed()) {
            Revision r = parsed(text);
            if (r != null) {
                agreement.recall(r);
            }
        }
        for (byte[] text : kept.own()) {
            Revision r = parsed(text);
            if (r != null) {
                agreement.hold(now, r);
            }
        }
        expire();
    }

    private Revision parsed(byte[] text) {
        try {
            return CalendarFile.parse("kept calendar", text);
        } catch (InvalidScheduleException e) {
            lines.accept(e.getMessage());
            return null;
        }
    }

    private void expire() {
        factors = factors.until(Long.MIN_VALUE);
    }

    /**
     * The factors of now: the last ones as long as they hold, which is cheap, else worked out anew.
     */
    public Factors factors(long now) {
        if (now >= factors.validUntil()) {
            factors = evaluate(now);
        }
        return factors;
    }

    private Factors evaluate(long now) {
        if (!clock.settled(now)) {
            return Factors.NEUTRAL.until(clock.settledAt());
        }
        long instant = clock.at(now);
        InForce inForce = agreement.at(now, instant);
        tell(inForce, instant);
        if (inForce.revision() == null) {
            return Factors.NEUTRAL.until(clock.when(inForce.until()));
        }
        if (inForce.revision() != tabled) {
            tabled = inForce.revision();
            timetable = new Timetable(tabled.windows());
            read = Factors.NEUTRAL.until(Long.MIN_VALUE);
        }
        if (instant < readAt || instant >= read.validUntil()) {
            readAt = instant;
            read = timetable.at(instant);
        }
        return read.until(clock.when(Math.min(read.validUntil(), inForce.until())));
    }

    private void tell(InForce f, long instant) {
        if (f.state() == told.state() && f.number() == told.number()) {
            return;
        }
        told = f;
        lines.accept(
                switch (f.state()) {
                    case NONE -> "no revision is agreed; factors are neutral";
                    case AGREED -> "revision " + f.number() + " is in effect" + late(f, instant);
                    case MISSING ->
                            "revision "
                                    + f.number()
                                    + " is in effect, but its text is not here; neutral";
                    case REVOKED -> "revision " + f.number() + " is revoked; factors are neutral";
                    case DOUBT ->
                            "whether a revision that is due is agreed can't be told; goes on by "
                                    + f.number();
                    case EXPIRED ->
                            "whether a revision that is due is agreed could not be told for long;"
                                    + " neutral";
                });
    }

    private static String late(InForce f, long instant) {
        long seconds = (instant - f.revision().from()) / 1_000_000;
        return seconds > 0 ? ", due " + seconds + " s ago" : "";
    }
}
