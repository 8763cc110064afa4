/** Command line, based on picocli. A balancer in service loads no class of this package. */
package loadbalancer.cli;
