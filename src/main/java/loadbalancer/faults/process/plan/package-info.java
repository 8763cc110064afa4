/** What is to happen in a run: written by hand, or drawn from a seed. */
package loadbalancer.faults.process.plan;
