/**
 * Runs the stages of a rollout: selects the current plan, admits members to change, publishes votes
 * and rolls back all members on a halt. Turns events and times into actions, without I/O.
 */
package loadbalancer.rollout.stage;
