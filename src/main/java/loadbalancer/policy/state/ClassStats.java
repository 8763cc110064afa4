package loadbalancer.policy.state;

import loadbalancer.ClassSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * A class with what was learnt of it. Requests hold on to theirs, so that new settings, which may
 * have another class in the same place, or the same name for another, change nothing for them.
 */
public final class ClassStats {
    private static final double TOOK_SHARE = 0.02; // of each answer: many feed it
    private static final double REFUSED_SHARE = 0.05; // of each refusal: there are fewer

    private final RequestClass cls;
    private double took;
    private double refusedAfter;

    /** A class that takes over what an earlier one of its name has learnt. */
    ClassStats(RequestClass cls, ClassStats[] before) {
        this.cls = cls;
        for (ClassStats old : before) {
            if (old.cls.name().equals(cls.name())) {
                took = old.took;
                refusedAfter = old.refusedAfter;
            }
        }
    }

    /** The class. */
    public RequestClass cls() {
        return cls;
    }

    /** The usual time of an answer in microseconds, 0 before the first. */
    public double took() {
        return took;
    }

    /** After how many microseconds a refusal usually came. */
    public double refusedAfter() {
        return refusedAfter;
    }

    /** An answer took so long. */
    public void answered(long micros) {
        took = ExponentialSmoothing.into(took, micros, TOOK_SHARE);
    }

    /** A refusal came after so long. */
    public void refused(long micros) {
        refusedAfter += REFUSED_SHARE * (micros - refusedAfter);
    }

    void recall(ClassSnapshot memory) {
        if (took == 0 && cls.name().equals(memory.name())) {
            took = memory.responseTimeMicros();
            refusedAfter = memory.rejectedAfterMicros();
        }
    }

    ClassSnapshot memory() {
        return new ClassSnapshot(cls.name(), took, refusedAfter);
    }
}
