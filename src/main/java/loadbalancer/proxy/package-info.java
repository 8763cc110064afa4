/**
 * One request from its arrival to its one final response, independent of the protocols on both
 * sides: gives events to the policy, does what it decides, and checks every attempt once more right
 * before it is sent.
 */
package loadbalancer.proxy;
