/** The fleet's UDP socket, which sends and receives bytes without interpreting them. */
package loadbalancer.fleet.transport;
