/** The command line, on picocli. Nothing here is loaded by a balancer in service. */
package loadbalancer.cli;
