/**
 * The HTTP/1.1 server side: accepts client connections, reads and validates requests, writes the
 * final responses in order, and shuts down gracefully.
 */
package loadbalancer.http1.downstream;
