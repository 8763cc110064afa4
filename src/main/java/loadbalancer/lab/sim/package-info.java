/** The discrete-event emulator of fleet, clients, network and balancers, in virtual time. */
package loadbalancer.lab.sim;
