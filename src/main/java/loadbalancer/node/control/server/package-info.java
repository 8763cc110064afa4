/**
 * The process of a control machine: a writer, which takes changes, or a follower of one. Binds the
 * logic of {@code loadbalancer.control} to sockets, files, threads and signals; a balancer loads
 * none of it.
 */
package loadbalancer.node.control.server;
