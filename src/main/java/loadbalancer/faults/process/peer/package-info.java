/** Stand-ins for what a balancer talks to: upstreams, discovery and clients, on plain sockets. */
package loadbalancer.faults.process.peer;
