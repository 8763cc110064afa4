package loadbalancer;

/**
 * Points that are taken off the score of the service, each for one unit of what it is charged on.
 *
 * @param crossZoneAttempt attempts to another zone, for each first attempt
 * @param wastedWork work of endpoints without a response, as a part of the offered work
 * @param probe probes, for each first attempt
 * @param peerMessage messages of 256 bytes between balancers, for each first attempt
 * @param lateFailure priority weight left unserved after the latency objective
 * @param connectionHandshake new connections, for each first attempt
 */
public record Prices(
        double crossZoneAttempt,
        double wastedWork,
        double probe,
        double peerMessage,
        double lateFailure,
        double connectionHandshake) {}
