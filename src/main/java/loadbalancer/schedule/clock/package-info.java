/** Computes one common time for the fleet from the offsets to the peers' clocks. */
package loadbalancer.schedule.clock;
