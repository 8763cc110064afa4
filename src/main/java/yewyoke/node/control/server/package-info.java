/**
 * The process of a control machine: a writer, which takes changes, or a follower of one. Binds the logic of
 * {@code yewyoke.control} to sockets, files, threads and signals; a balancer loads none of it.
 */
package yewyoke.node.control.server;
