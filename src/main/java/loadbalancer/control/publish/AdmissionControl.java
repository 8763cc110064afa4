package loadbalancer.control.publish;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Admits subscribers at a bounded rate. Those who come too early are each given a later slot, so
 * that a storm comes back spread over the time that admitting it takes.
 */
final class AdmissionControl {
    /** The longest wait for a slot; whoever is told this may have to ask again. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Jitter, in slots. */
    private static final int JITTER_SLOTS = 4;

    private static final long FULL_RETRY_MILLIS = 5_000;
    private static final long AHEAD_RETRY_MILLIS = 500;

    private final int maxSubscribers;
    private final RandomGenerator random;
    private final RateLimiter admissions;

    /** Slots given out and not yet past are its debt. */
    private final RateLimiter slots;

    private final long jitterMillis;

    /** Draws jitter from that source. */
    AdmissionControl(PublisherLimits limits, RandomGenerator random) {
        double perSecond = limits.admissionsPerSecond();
        this.maxSubscribers = limits.maxSubscribers();
        this.random = random;
        this.admissions = new RateLimiter(perSecond, Math.max(1, perSecond));
        this.slots = new RateLimiter(perSecond, 0);
        double jitter = JITTER_SLOTS * TimeUnit.SECONDS.toMillis(1) / perSecond;
        this.jitterMillis =
                1 + (long) Math.min(jitter, TimeUnit.NANOSECONDS.toMillis(MAX_WAIT_NANOS));
    }

    /**
     * Takes one admission, or says when to come back.
     *
     * @param others subscribers besides the one that asks
     */
    Optional<Admission.Deferred> admit(long nowNanos, int others) {
        if (others >= maxSubscribers) {
            return Optional.of(
                    deferred("all " + maxSubscribers + " places are taken", FULL_RETRY_MILLIS));
        }
        if (admissions.has(nowNanos, 1)) {
            admissions.spend(1);
            return Optional.empty();
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(takeSlot(nowNanos)) + 1;
        return Optional.of(
                new Admission.Deferred(
                        "more subscribers than are admitted at a time",
                        waitMillis + random.nextLong(jitterMillis)));
    }

    /** Turns away a subscriber that holds more than this publisher does. */
    Admission.Deferred ahead(String reason) {
        return deferred(reason, AHEAD_RETRY_MILLIS);
    }

    /**
     * Time until the next free slot. Jitter only adds to it: admissions keep up with who comes
     * back.
     */
    private long takeSlot(long nowNanos) {
        long wait = Math.max(admissions.nanosUntil(nowNanos, 1), slots.nanosUntil(nowNanos, 1));
        if (wait > MAX_WAIT_NANOS) {
            return MAX_WAIT_NANOS;
        }
        slots.spend(1);
        return wait;
    }

    private Admission.Deferred deferred(String reason, long aboutMillis) {
        return new Admission.Deferred(reason, aboutMillis + random.nextLong(aboutMillis));
    }
}
