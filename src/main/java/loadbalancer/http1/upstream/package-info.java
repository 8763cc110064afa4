/**
 * The HTTP/1.1 client side: connects to endpoints, pools connections, writes requests and reads
 * responses. A connection carries one request at a time. This package never retries a request;
 * retries are up to the policy.
 */
package loadbalancer.http1.upstream;
