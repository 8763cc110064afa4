/**
 * The stages of a rollout: which plan is current, who may change when, what a member votes, and how
 * a halt rolls all back. Events and times in, actions out; no I/O.
 */
package loadbalancer.rollout.stage;
