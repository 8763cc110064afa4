/**
 * The stages of a change: who may begin when, what a member votes, and how a halt takes all back.
 * Events and time in, decisions out.
 */
package loadbalancer.rollout.stage;
