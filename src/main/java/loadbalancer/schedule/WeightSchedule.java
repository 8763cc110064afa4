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
 * The calendar at one member: files, statements and clock samples in, weight factors out.
 *
 * <p>Not thread-safe: all calls come from the fleet's thread; nothing blocks. {@code nowMicros} is
 * the monotonic clock, {@code wallMicros} the one that shows UTC, both in microseconds.
 */
public final class WeightSchedule implements SharedState.Listener {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final SharedState shared;
    private final Consumer<String> log;
    private final FleetClock clock;
    private final RevisionAgreement agreement;

    /** By the monotonic clock. */
    private WeightFactors factors = WeightFactors.NEUTRAL.expired();

    private CalendarRevision timetableRevision;
    private Timetable timetable;

    /** By the fleet's time, from {@code timetableReadMicros} on. */
    private WeightFactors timetableFactors = WeightFactors.NEUTRAL.expired();

    private long timetableReadMicros;
    private EffectiveRevision logged =
            new EffectiveRevision(EffectiveRevision.State.NONE, 0, null, 0);

    /**
     * Of a member that starts now.
     *
     * @param log takes lines for operators
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

    /** Takes the operators' file; a line says whether it is voted for or why it is not. */
    public void onFileRead(long nowMicros, CalendarRevision revision) {
        try {
            agreement.addOwnRevision(nowMicros, revision);
            log.accept("votes for revision " + revision.number() + " " + revision.digest());
        } catch (RevisionRejectedException e) {
            log.accept(e.getMessage());
        }
        expireFactors();
    }

    /** To be called about once a second. */
    public void tick(long nowMicros, long wallMicros) {
        clock.tick(nowMicros, wallMicros);
        agreement.recount(nowMicros);
        expireFactors();
    }

    /**
     * Takes a sample of a peer's clock; one of a member that may not vote is ignored.
     *
     * @param offsetMicros the peer's wall clock less ours
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
        if (RevisionAgreement.concerns(item)) {
            agreement.recount(nowMicros);
            expireFactors();
        }
    }

    /** The fleet's time, microseconds of UTC. */
    public long fleetTimeMicros(long nowMicros) {
        return clock.timeAt(nowMicros);
    }

    /** What is to be saved over a restart. */
    public SavedCalendar toSaved() {
        return new SavedCalendar(agreement.agreedTexts(), agreement.ownTexts());
    }

    /** Restores what was saved, before the file is read; a line for each text of no more use. */
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
            // An agreed revision of that number takes its place.
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

    /** The factors in effect; evaluated only when the last ones have expired. */
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
                    case NONE -> "no revision is agreed; factors are neutral";
                    case AGREED ->
                            "revision " + number + " is in effect" + lateness(effective, utcMicros);
                    case TEXT_MISSING ->
                            "revision "
                                    + number
                                    + " is in effect, but its text is missing; neutral";
                    case REVOKED -> "revision " + number + " is revoked; factors are neutral";
                    case UNCERTAIN ->
                            "no majority in reach to confirm a revision that is due;"
                                    + " revision "
                                    + number
                                    + " stays in effect";
                    case LEASE_EXPIRED ->
                            "no majority in reach to confirm a revision that is due;"
                                    + " the lease has expired, factors are neutral";
                });
    }

    private static String lateness(EffectiveRevision effective, long utcMicros) {
        long seconds = (utcMicros - effective.revision().effectiveFromMicros()) / MICROS_PER_SECOND;
        return seconds > 0 ? ", due " + seconds + " s ago" : "";
    }
}
