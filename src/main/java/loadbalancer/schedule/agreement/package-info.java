/**
 * Agreement on which revision of the calendar is in effect: one that a majority of the roster votes
 * for, from its instant on.
 */
package loadbalancer.schedule.agreement;
