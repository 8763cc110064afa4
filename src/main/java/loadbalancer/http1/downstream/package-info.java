/**
 * HTTP/1.1 towards clients: reads requests, checks them against the protocol, writes the answers.
 */
package loadbalancer.http1.downstream;
