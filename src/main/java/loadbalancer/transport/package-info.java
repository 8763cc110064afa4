/**
 * An interface to the event loop, clocks, channels and random numbers, with an implementation on
 * system sockets; fault simulations implement it in virtual time.
 */
package loadbalancer.transport;
