/** One time for the fleet, out of the offsets to the peers' clocks. */
package loadbalancer.schedule.clock;
