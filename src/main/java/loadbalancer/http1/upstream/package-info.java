/** HTTP/1.1 towards upstreams: a connection for each request under way, kept for the next one. */
package loadbalancer.http1.upstream;
