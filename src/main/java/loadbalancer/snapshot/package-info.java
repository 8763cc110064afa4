/**
 * What a balancer knows, so that it outlives the process: the form it is kept in, its age, and the
 * files. The decision module says what of it is believed. No clock and no loop in here.
 */
package loadbalancer.snapshot;
