/**
 * The parent role: keeps the processes of one balancer, starts a successor, hands over, and goes
 * back. Service does not hang on it: if it dies its processes serve on, and the next parent finds
 * them.
 */
package loadbalancer.node.supervisor;
