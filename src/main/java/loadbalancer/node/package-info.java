/** The balancer on real sockets, round the decision module. */
package loadbalancer.node;
