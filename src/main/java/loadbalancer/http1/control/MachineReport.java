package loadbalancer.http1.control;

import loadbalancer.control.publish.DistributionStatus;

/**
 * A control machine's report on its own subscribers, in JSON.
 *
 * @param machine its name
 * @param ageMillis since the report was received; 0 while it is sent
 * @param distribution which revision is in force at how many of them
 */
public record MachineReport(String machine, long ageMillis, DistributionStatus distribution) {}
