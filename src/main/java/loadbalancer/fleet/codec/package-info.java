/**
 * The wire format of the fleet's datagrams: encoding, signing, replay protection and limits. No
 * other package parses datagrams.
 */
package loadbalancer.fleet.codec;
