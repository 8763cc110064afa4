/**
 * Which revision of the calendar counts: one that a majority of the roster holds, from its instant
 * on.
 */
package loadbalancer.schedule.agreement;
