/**
 * Event loop, clocks, channels and random numbers behind one interface: sockets in production,
 * virtual time in fault simulations.
 */
package loadbalancer.transport;
