/** Processes of the program: started, signalled, replaced, and none of them left behind. */
package loadbalancer.faults.process.program;
