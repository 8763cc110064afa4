/**
 * Client and server side of the calls that distribute configuration over HTTP/1.1: subscriptions,
 * acknowledgements, changes and status. The package {@code loadbalancer.control} decides what is
 * sent; docs/control-design.md documents the calls.
 */
package loadbalancer.http1.control;
