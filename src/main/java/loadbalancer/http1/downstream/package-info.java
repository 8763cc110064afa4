/**
 * HTTP/1.1 towards clients: accepts connections, reads and validates requests, writes the final
 * responses in order, and shuts down gracefully.
 */
package loadbalancer.http1.downstream;
