/**
 * Runs a control server as a process: a writer, which accepts changes, or a follower of a writer.
 * Binds the logic of {@code loadbalancer.control} to sockets, files, threads and signals. A
 * balancer loads none of these classes.
 */
package loadbalancer.node.control.server;
