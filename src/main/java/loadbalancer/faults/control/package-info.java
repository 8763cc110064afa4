/**
 * Seeded simulation of the distribution of configuration in virtual time: one writer, three
 * followers and any number of subscribers, the real code of {@code loadbalancer.control}, on a
 * network and a disk in memory.
 */
package loadbalancer.faults.control;
