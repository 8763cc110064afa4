/** Real processes of the program with relays between them, and faults: docs/process-faults.md. */
package loadbalancer.faults.process;
