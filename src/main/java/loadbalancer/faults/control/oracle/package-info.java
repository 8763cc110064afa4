/** Checks of the simulated distribution; knows nothing of the program, only texts and numbers. */
package loadbalancer.faults.control.oracle;
