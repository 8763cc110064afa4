/** Checks of the simulated distribution; knows nothing of the program, only texts and numbers. */
package yewyoke.faults.control.oracle;
