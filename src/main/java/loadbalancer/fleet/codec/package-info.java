/**
 * The wire format: encoding, signing, replay protection, limits. No other package reads raw
 * datagrams.
 */
package loadbalancer.fleet.codec;
