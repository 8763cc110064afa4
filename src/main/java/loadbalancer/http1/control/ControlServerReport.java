package loadbalancer.http1.control;

import loadbalancer.control.publish.DistributionStatus;

/**
 * A report of a control server on its own subscribers, sent as JSON.
 *
 * @param machine the name of the server
 * @param ageMillis the time since the report was received; 0 in the report as sent
 * @param distribution the status of the subscribers, with the revisions in force
 */
public record ControlServerReport(
        String machine, long ageMillis, DistributionStatus distribution) {}
