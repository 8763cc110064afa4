package loadbalancer;

/**
 * The points deducted from the score of the service, each for one unit of its base.
 *
 * @param crossZoneAttempt points for attempts to another zone, per first attempt
 * @param wastedWork points for work of endpoints without a response, as a fraction of the offered
 *     work
 * @param probe points for probes, per first attempt
 * @param peerMessage points for messages of 256 bytes between balancers, per first attempt
 * @param lateFailure points for priority weight left unserved after the latency objective
 * @param connectionHandshake points for new connections, per first attempt
 */
public record Prices(
        double crossZoneAttempt,
        double wastedWork,
        double probe,
        double peerMessage,
        double lateFailure,
        double connectionHandshake) {}
