/**
 * Simulation of many members of a fleet in virtual time: datagrams with delay, loss, duplication,
 * reordering and partitions; processes that are suspended, killed, restarted, or run on two
 * machines under one name. The same seed gives the same trace.
 */
package loadbalancer.faults.fleet;
