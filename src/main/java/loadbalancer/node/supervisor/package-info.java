/**
 * The supervisor role: runs the processes of one balancer, starts successors, hands over, and rolls
 * back. Service does not depend on it: if it dies its processes serve on, and the next supervisor
 * takes them over.
 */
package loadbalancer.node.supervisor;
