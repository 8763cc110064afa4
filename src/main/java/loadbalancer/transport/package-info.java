/**
 * Time and channels, handed in from above: sockets in service, virtual time where faults are
 * played.
 */
package loadbalancer.transport;
