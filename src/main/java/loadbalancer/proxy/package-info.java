/**
 * Handling of requests from their arrival to their final response, independent of the protocols of
 * clients and endpoints. The package reports events to the policy, carries out its decisions, and
 * checks every attempt again right before it is sent.
 */
package loadbalancer.proxy;
