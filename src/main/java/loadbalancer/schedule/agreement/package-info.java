/**
 * Decides which revision of the calendar is in effect. A revision that a majority of the roster
 * votes for takes effect at its start time.
 */
package loadbalancer.schedule.agreement;
