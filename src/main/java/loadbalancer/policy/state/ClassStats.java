package loadbalancer.policy.state;

import loadbalancer.ClassSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * A request class with its measurements. A request keeps the instance that it arrived under. Later
 * settings may define a different class at the same index, which does not affect the request.
 */
public final class ClassStats {
    /** Smoothing factor per response; small, because responses are frequent. */
    private static final double RESPONSE_SMOOTHING = 0.02;

    /** Smoothing factor per rejection; larger, because rejections are less frequent. */
    private static final double REJECTION_SMOOTHING = 0.05;

    private final RequestClass requestClass;
    private double typicalResponseMicros;
    private double typicalRejectionMicros;

    /**
     * Creates statistics of a class that take over the measurements of an earlier class with the
     * same name.
     */
    ClassStats(RequestClass requestClass, ClassStats[] earlierClasses) {
        this.requestClass = requestClass;
        for (ClassStats earlier : earlierClasses) {
            if (earlier.requestClass.name().equals(requestClass.name())) {
                typicalResponseMicros = earlier.typicalResponseMicros;
                typicalRejectionMicros = earlier.typicalRejectionMicros;
            }
        }
    }

    /** Returns the class as configured. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns the smoothed time from sending to response in microseconds; 0 before the first
     * response.
     */
    public double typicalResponseMicros() {
        return typicalResponseMicros;
    }

    /**
     * Returns the smoothed time from arrival to rejection in microseconds; 0 before the first
     * rejection.
     */
    public double typicalRejectionMicros() {
        return typicalRejectionMicros;
    }

    /** Records a response with the given response time. */
    public void recordResponse(long durationMicros) {
        typicalResponseMicros =
                ExponentialSmoothing.smooth(
                        typicalResponseMicros, durationMicros, RESPONSE_SMOOTHING);
    }

    /** Records a rejection and the time from the request's arrival to it. */
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
