/** Bytes and nothing else: version, MAC, bounds. No other package sees a raw datagram. */
package loadbalancer.fleet.codec;
