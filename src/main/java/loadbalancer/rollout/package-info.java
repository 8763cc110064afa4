/**
 * Rolls out a program or its settings in stages. The canary balancers are compared with the others,
 * and a regression in any stage halts the rollout. The classes do no I/O: the caller passes in
 * time, random numbers and the fleet's statements. See {@code docs/rollout-design.md} for the
 * design.
 */
package loadbalancer.rollout;
