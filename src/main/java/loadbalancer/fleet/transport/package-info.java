/** The UDP socket: bytes in, bytes out, and nothing that understands them. */
package loadbalancer.fleet.transport;
