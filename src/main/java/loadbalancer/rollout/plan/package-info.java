/**
 * Defines the plan of a staged rollout: its file format, the order in which balancers change, and
 * the digests of programs and files.
 */
package loadbalancer.rollout.plan;
