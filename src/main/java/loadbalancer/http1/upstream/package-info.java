/**
 * HTTP/1.1 towards endpoints: connects, pools connections, writes requests and reads responses. A
 * connection carries one request at a time. Nothing is ever sent again from here; retries are the
 * policy's.
 */
package loadbalancer.http1.upstream;
