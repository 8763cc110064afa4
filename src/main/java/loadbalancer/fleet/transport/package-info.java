/** The UDP socket of the fleet: sends and receives bytes without interpreting them. */
package loadbalancer.fleet.transport;
