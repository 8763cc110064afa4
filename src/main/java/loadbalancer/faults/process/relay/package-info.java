/** What lies between processes: relays on loopback that delay, lose, spoil and cut. */
package loadbalancer.faults.process.relay;
