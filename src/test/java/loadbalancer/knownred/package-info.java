/**
 * Tests that are known to fail: listed in KNOWN-RED.txt, passed over and printed, and nothing else
 * is.
 */
package loadbalancer.knownred;
