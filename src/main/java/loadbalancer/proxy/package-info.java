/**
 * One request from its taking to its one final answer, in no protocol's words: what asks the
 * decision module and does what it says, and the interfaces of the sides towards clients and
 * towards upstreams.
 */
package loadbalancer.proxy;
