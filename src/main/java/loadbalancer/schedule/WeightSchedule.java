package loadbalancer.schedule;

import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.EffectiveRevision;
import loadbalancer.schedule.agreement.RevisionAgreement;
import loadbalancer.schedule.agreement.RevisionRejectedException;
import loadbalancer.schedule.clock.FleetClock;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.CalendarRevision;
import loadbalancer.schedule.window.InvalidScheduleException;
import loadbalancer.schedule.window.Timetable;
import loadbalancer.schedule.window.WeightFactors;

/**
 * Computes the weight factors of one member from calendar files, replicated statements and clock
 * samples.
 *
 * <p>Not thread-safe: all methods are called from the fleet's thread, and none blocks. {@code
 * nowMicros} is the time of the monotonic clock, {@code wallMicros} that of the wall clock (UTC),
 * both in microseconds.
 */
public final class WeightSchedule implements SharedState.Listener {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final SharedState shared;
    private final Consumer<String> log;
    private final FleetClock clock;
    private final RevisionAgreement agreement;

    /** The factors in effect; valid until a time of the monotonic clock. */
    private WeightFactors factors = WeightFactors.NEUTRAL.expired();

    private CalendarRevision timetableRevision;
    private Timetable timetable;

    /** The factors of the timetable; valid from {@code timetableReadMicros} on, in fleet time. */
    private WeightFactors timetableFactors = WeightFactors.NEUTRAL.expired();

    private long timetableReadMicros;
    private EffectiveRevision logged =
            new EffectiveRevision(EffectiveRevision.State.NONE, 0, null, 0);

    /**
     * Creates the schedule of a member that starts now.
     *
     * @param log receives log lines for operators
     */
    public WeightSchedule(
            long nowMicros, long wallMicros, SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.log = line -> log.accept("calendar: " + line);
        this.clock = new FleetClock(shared.roster().size(), this.log);
        this.agreement = new RevisionAgreement(nowMicros, shared, this.log);
        clock.tick(nowMicros, wallMicros);
        shared.addListener(this);
    }

    /** Votes for the revision of the operators' file, or logs why it is rejected. */
    public void onFileRead(long nowMicros, CalendarRevision revision) {
        try {
            agreement.addOwnRevision(nowMicros, revision);
            log.accept("voting for revision " + revision.number() + " " + revision.digest());
        } catch (RevisionRejectedException e) {
            log.accept(e.getMessage());
        }
        expireFactors();
    }

    /** Reads the clocks and counts the votes again; to be called about once a second. */
    public void tick(long nowMicros, long wallMicros) {
        clock.tick(nowMicros, wallMicros);
        agreement.recount(nowMicros);
        expireFactors();
    }

    /**
     * Adds a sample of a peer's clock. A sample of a member that is not an eligible voter is
     * ignored.
     *
     * @param offsetMicros the peer's wall clock minus this member's
     */
    public void onClockSample(
            long nowMicros, String member, long offsetMicros, long roundTripMicros) {
        if (shared.isEligibleVoter(member)) {
            clock.onSample(nowMicros, member, offsetMicros, roundTripMicros);
            expireFactors();
        }
    }

    @Override
    public void itemChanged(long nowMicros, Item item) {
        if (RevisionAgreement.isCalendarItem(item)) {
            agreement.recount(nowMicros);
            expireFactors();
        }
    }

    /** Returns the fleet's time, in microseconds of UTC. */
    public long fleetTimeMicros(long nowMicros) {
        return clock.timeAt(nowMicros);
    }

    /** Returns the state to save across a restart. */
    public SavedCalendar toSaved() {
        return new SavedCalendar(agreement.agreedTexts(), agreement.ownTexts());
    }

    /**
     * Restores the saved state; to be called before the operators' file is read. Logs each text
     * that can no longer be parsed.
     */
    public void restore(long nowMicros, SavedCalendar saved) {
        for (byte[] text : saved.agreedTexts()) {
            CalendarRevision revision = parseSaved(text);
            if (revision != null) {
                agreement.restoreAgreed(revision);
            }
        }
        for (byte[] text : saved.ownTexts()) {
            CalendarRevision revision = parseSaved(text);
            if (revision != null) {
                restoreOwn(nowMicros, revision);
            }
        }
        expireFactors();
    }

    private void restoreOwn(long nowMicros, CalendarRevision revision) {
        try {
            agreement.addOwnRevision(nowMicros, revision);
        } catch (RevisionRejectedException e) {
            // The number already belongs to an agreed revision, which takes precedence.
        }
    }

    private CalendarRevision parseSaved(byte[] text) {
        try {
            return CalendarFile.parse("saved calendar", text);
        } catch (InvalidScheduleException e) {
            log.accept(e.getMessage());
            return null;
        }
    }

    private void expireFactors() {
        factors = factors.expired();
    }

    /** Returns the factors in effect, which are evaluated only when the last ones have expired. */
    public WeightFactors factors(long nowMicros) {
        if (nowMicros >= factors.validUntilMicros()) {
            factors = evaluate(nowMicros);
        }
        return factors;
    }

    private WeightFactors evaluate(long nowMicros) {
        if (!clock.isSettled(nowMicros)) {
            return WeightFactors.NEUTRAL.withValidUntil(clock.settledAtLatestMicros());
        }
        long utcMicros = clock.timeAt(nowMicros);
        EffectiveRevision effective = agreement.effectiveAt(nowMicros, utcMicros);
        logChange(effective, utcMicros);
        if (effective.revision() == null) {
            return WeightFactors.NEUTRAL.withValidUntil(clock.monotonicAt(effective.untilMicros()));
        }
        readTimetable(effective.revision(), utcMicros);
        long untilUtcMicros =
                Math.min(timetableFactors.validUntilMicros(), effective.untilMicros());
        return timetableFactors.withValidUntil(clock.monotonicAt(untilUtcMicros));
    }

    private void readTimetable(CalendarRevision revision, long utcMicros) {
        if (revision != timetableRevision) {
            timetableRevision = revision;
            timetable = new Timetable(revision.windows());
            timetableFactors = WeightFactors.NEUTRAL.expired();
        }
        if (utcMicros < timetableReadMicros || utcMicros >= timetableFactors.validUntilMicros()) {
            timetableReadMicros = utcMicros;
            timetableFactors = timetable.at(utcMicros);
        }
    }

    private void logChange(EffectiveRevision effective, long utcMicros) {
        if (effective.state() == logged.state() && effective.number() == logged.number()) {
            return;
        }
        logged = effective;
        long number = effective.number();
        log.accept(
                switch (effective.state()) {
                    case NONE -> "no revision is agreed; weight factors are neutral";
                    case AGREED ->
                            "revision " + number + " is in effect" + lateness(effective, utcMicros);
                    case TEXT_MISSING ->
                            "revision "
                                    + number
                                    + " is in effect but its text is missing;"
                                    + " weight factors are neutral";
                    case REVOKED ->
                            "revision " + number + " is revoked; weight factors are neutral";
                    case UNCERTAIN ->
                            "cannot reach a majority to confirm a revision that is due;"
                                    + " revision "
                                    + number
                                    + " stays in effect";
                    case LEASE_EXPIRED ->
                            "cannot reach a majority to confirm a revision that is due;"
                                    + " the lease has expired, weight factors are neutral";
                });
    }

    private static String lateness(EffectiveRevision effective, long utcMicros) {
        long seconds = (utcMicros - effective.revision().effectiveFromMicros()) / MICROS_PER_SECOND;
        return seconds > 0 ? ", due " + seconds + " s ago" : "";
    }
}
