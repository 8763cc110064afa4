/** Plays a plan with real processes, and says what came of it. */
package loadbalancer.faults.process.run;
