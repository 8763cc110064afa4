/** What lies between processes: relays on loopback that delay, lose, spoil and cut. */
package yewyoke.faults.process.relay;
