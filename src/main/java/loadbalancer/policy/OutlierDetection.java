package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OutlierState;
import loadbalancer.policy.state.ServiceTimes;

/**
 * Outlier detection: passive health checks by the outcomes of attempts.
 *
 * <p>Decides which endpoints are ejected and for how long, and when so many are ejected that
 * ejections are ignored (panic).
 *
 * <p>Inputs: outcomes of attempts and their times in microseconds; the work in flight and the usual
 * response times of an endpoint.
 *
 * <p>Never removes an endpoint from the list, and never changes weights or limits.
 */
final class OutlierDetection {
    /** Multiple of the expected response time without any response that means it is hanging. */
    private static final double UNRESPONSIVE_MULTIPLE = 6;

    private static final long FIRST_EJECTION_MICROS = 1_000_000;

    /** Ejections double in length up to this. */
    private static final long MAX_EJECTION_MICROS = 8_000_000;

    /** With a smaller fraction of the endpoints left, ejections are ignored. */
    private static final double PANIC_RATIO = 0.4;

    /** Of each outcome into an endpoint's error ratio. */
    private static final double ERROR_SMOOTHING = 0.15;

    /** Above it, more requests fail there than are served. */
    private static final double MAX_ERROR_RATIO = 0.5;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final ServiceTimes times;

    OutlierDetection(DerivedSettings settings, EndpointList endpoints, ServiceTimes times) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.times = times;
    }

    void initialize(Endpoint endpoint) {
        endpoint.outlier().endEjection(FIRST_EJECTION_MICROS);
    }

    /** Ejects the endpoint, unless an ejection is running. */
    void eject(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        if (!state.isEjected(nowMicros)) {
            long ejectionMicros = state.nextEjectionMicros();
            state.eject(
                    nowMicros + ejectionMicros, Math.min(MAX_EJECTION_MICROS, ejectionMicros * 2));
        }
    }

    /**
     * Whether the endpoint gets no requests. One that is back from an ejection gets one request at
     * a time until it has responded.
     */
    boolean isEjected(Endpoint endpoint, long nowMicros) {
        return endpoint.outlier().isEjected(nowMicros)
                || !hasRecovered(endpoint) && endpoint.inFlight().requests() > 0;
    }

    /** Whether the endpoint has responded since it was last ejected. */
    boolean hasRecovered(Endpoint endpoint) {
        return endpoint.outlier().nextEjectionMicros() <= FIRST_EJECTION_MICROS;
    }

    /** Whether so few endpoints are left that ejections are ignored. */
    boolean isPanicking(long nowMicros) {
        List<Endpoint> ready = endpoints.ready();
        int available = 0;
        for (Endpoint endpoint : ready) {
            available += isEjected(endpoint, nowMicros) ? 0 : 1;
        }
        return available < PANIC_RATIO * ready.size();
    }

    /** How many endpoints get nothing at present because they are ejected. */
    int ejectedCount(long nowMicros) {
        if (isPanicking(nowMicros)) {
            return 0;
        }
        int count = 0;
        for (Endpoint endpoint : endpoints.ready()) {
            count += endpoint.outlier().isEjected(nowMicros) ? 1 : 0;
        }
        return count;
    }

    /** Ejects endpoints that have work and have not responded for a multiple of the usual time. */
    void ejectUnresponsive(long nowMicros) {
        for (Endpoint endpoint : endpoints.ready()) {
            OutlierState state = endpoint.outlier();
            long silentMicros = nowMicros - state.lastProgressAtMicros();
            if (!state.isUnresponsive()
                    && endpoint.inFlight().requests() > 0
                    && silentMicros > maxSilentMicros(endpoint)) {
                state.markUnresponsive();
                eject(endpoint, nowMicros);
            }
        }
    }

    private double maxSilentMicros(Endpoint endpoint) {
        double usualMicros =
                Math.max(times.expectedResponseMicros(endpoint), settings.targetWaitingMicros());
        return UNRESPONSIVE_MULTIPLE * usualMicros
                + endpoint.inFlight().workMicros() * Math.max(1, times.minServiceTime(endpoint));
    }

    /** An attempt is sent: the time without a response counts from the first of them. */
    void recordSend(Endpoint endpoint, long nowMicros) {
        if (endpoint.inFlight().requests() == 0) {
            endpoint.outlier().recordProgress(nowMicros);
        }
    }

    /** A successful response: ends any ejection. */
    void recordResponse(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        state.recordResponse(nowMicros);
        state.endEjection(FIRST_EJECTION_MICROS);
        state.setErrorRatio(state.errorRatio() * (1 - ERROR_SMOOTHING));
    }

    /** An error response or a broken connection: ejects if they are frequent. */
    void recordError(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        state.recordProgress(nowMicros);
        state.setErrorRatio(state.errorRatio() + ERROR_SMOOTHING * (1 - state.errorRatio()));
        if (state.errorRatio() > MAX_ERROR_RATIO) {
            eject(endpoint, nowMicros);
        }
    }

    /**
     * A failed connection: ejects if the endpoint has not responded since the attempt was sent.
     * Otherwise it is alive and has too many connections.
     */
    void recordConnectFailure(Endpoint endpoint, long sentAtMicros, long nowMicros) {
        if (endpoint.outlier().lastResponseAtMicros() < sentAtMicros) {
            eject(endpoint, nowMicros);
        }
    }

    /** Smoothed fraction of recent outcomes that were errors. */
    double errorRatio(Endpoint endpoint) {
        return endpoint.outlier().errorRatio();
    }
}
