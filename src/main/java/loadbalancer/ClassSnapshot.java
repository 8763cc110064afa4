package loadbalancer;

/**
 * The measurements of a request class at an instance.
 *
 * @param responseTimeMicros smoothed response time
 * @param rejectedAfterMicros smoothed time from the arrival of a request to its rejection
 */
public record ClassSnapshot(String name, double responseTimeMicros, double rejectedAfterMicros) {}
