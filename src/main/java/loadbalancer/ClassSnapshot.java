package loadbalancer;

/**
 * What an instance had measured of a class of requests.
 *
 * @param responseTimeMicros smoothed time of a response
 * @param rejectedAfterMicros smoothed time from the arrival of a request to its rejection
 */
public record ClassSnapshot(String name, double responseTimeMicros, double rejectedAfterMicros) {}
