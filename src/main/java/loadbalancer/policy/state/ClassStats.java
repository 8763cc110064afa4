package loadbalancer.policy.state;

import loadbalancer.ClassSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * A request class with what was measured of it. A request keeps the one that it arrived under:
 * later settings, which may have another class at the same index, change nothing for it.
 */
public final class ClassStats {
    /** Per response; small, since responses are many. */
    private static final double RESPONSE_SMOOTHING = 0.02;

    /** Per rejection; larger, since rejections are fewer. */
    private static final double REJECTION_SMOOTHING = 0.05;

    private final RequestClass requestClass;
    private double typicalResponseMicros;
    private double typicalRejectionMicros;

    /** Creates a class that takes over the measurements of an earlier one with the same name. */
    ClassStats(RequestClass requestClass, ClassStats[] earlierClasses) {
        this.requestClass = requestClass;
        for (ClassStats earlier : earlierClasses) {
            if (earlier.requestClass.name().equals(requestClass.name())) {
                typicalResponseMicros = earlier.typicalResponseMicros;
                typicalRejectionMicros = earlier.typicalRejectionMicros;
            }
        }
    }

    /** The class as configured. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Smoothed time from sending to response in microseconds; 0 before the first response. */
    public double typicalResponseMicros() {
        return typicalResponseMicros;
    }

    /** Smoothed time from arrival to rejection in microseconds; 0 before the first rejection. */
    public double typicalRejectionMicros() {
        return typicalRejectionMicros;
    }

    /** Records a response that took this long. */
    public void recordResponse(long tookMicros) {
        typicalResponseMicros =
                ExponentialSmoothing.smooth(typicalResponseMicros, tookMicros, RESPONSE_SMOOTHING);
    }

    /** Records a rejection this long after the arrival. */
    public void recordRejection(long afterMicros) {
        typicalRejectionMicros += REJECTION_SMOOTHING * (afterMicros - typicalRejectionMicros);
    }

    void restore(ClassSnapshot saved) {
        if (typicalResponseMicros == 0 && requestClass.name().equals(saved.name())) {
            typicalResponseMicros = saved.responseTimeMicros();
            typicalRejectionMicros = saved.rejectedAfterMicros();
        }
    }

    ClassSnapshot export() {
        return new ClassSnapshot(
                requestClass.name(), typicalResponseMicros, typicalRejectionMicros);
    }
}
