/**
 * What the balancers of one tier share, where the installation lets them talk: who is alive,
 * documents, flags and counters that merge in any order. Off unless the operator's file has a
 * section {@code [fleet]}; the platform's {@code run} loads nothing of it.
 *
 * <p>Nothing in here names an upstream, ejects one, widens a repeat or raises a cold budget by what
 * another says.
 */
package loadbalancer.fleet;
