package loadbalancer.http1.control;

import loadbalancer.control.publish.DistributionStatus;

/**
 * What a control machine says of its own subscribers.
 *
 * @param machine its name
 * @param ageMillis how long ago it said so; 0 in a report on its way
 * @param distribution which revision is in force at how many of them
 */
public record MachineReport(String machine, long ageMillis, DistributionStatus distribution) {}
