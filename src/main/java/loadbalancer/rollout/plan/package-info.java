/**
 * A plan of a staged rollout: its file format, the order in which balancers change, and the digest
 * of what changes.
 */
package loadbalancer.rollout.plan;
