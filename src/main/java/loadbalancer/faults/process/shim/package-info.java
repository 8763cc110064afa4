/**
 * Faults of the system below a process: its wall clock and its system calls, driven from outside.
 */
package loadbalancer.faults.process.shim;
