/**
 * Many members of a fleet in virtual time: datagrams between them with delay, loss, duplication,
 * reordering and cuts; members that are stopped, killed, started anew, or run on two machines. What
 * a member is, is handed in; the same seed gives the same trace.
 */
package loadbalancer.faults.fleet;
