/** Who is where: addresses of a run, and the files that tell each process its own view of them. */
package loadbalancer.faults.process.topology;
