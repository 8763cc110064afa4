/**
 * Communication between the balancers of one tier, which form a fleet. They share a membership list
 * and replicated documents, flags and counters. The fleet is off unless the operator's file has a
 * section {@code [fleet]}; the platform's {@code run} loads no class of this package.
 *
 * <p>Statements of other balancers never select or eject an upstream, and never raise its retry or
 * slow-start budget.
 */
package loadbalancer.fleet;
