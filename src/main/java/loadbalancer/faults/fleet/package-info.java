/**
 * Simulation of many members of a fleet in virtual time. It covers datagrams with delay, loss,
 * duplication, reordering and partitions, and processes that are suspended, killed, restarted, or
 * run on two machines with one name. Equal seeds give equal traces.
 */
package loadbalancer.faults.fleet;
