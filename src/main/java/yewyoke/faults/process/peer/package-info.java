/** Stand-ins for what a balancer talks to: upstreams, discovery and clients, on plain sockets. */
package yewyoke.faults.process.peer;
