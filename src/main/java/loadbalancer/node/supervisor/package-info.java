/**
 * The supervisor role: runs the processes of one balancer, starts successors, hands over to them,
 * and rolls back. Serving requests does not depend on the supervisor: if it dies, its processes
 * continue to serve, and the next supervisor adopts them.
 */
package loadbalancer.node.supervisor;
