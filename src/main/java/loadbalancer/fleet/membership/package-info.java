/**
 * Membership and failure detection according to SWIM (Das, Gupta, Motivala 2002) with the
 * extensions of Lifeguard (Dadgar, Phillips, Currey 2018). Single-threaded logic without I/O: time,
 * randomness and received packets are passed in, packets are sent through an interface.
 */
package loadbalancer.fleet.membership;
