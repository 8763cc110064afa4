/**
 * The calls by which configuration is distributed, both sides: subscriptions, acknowledgements,
 * changes and status over HTTP/1.1. What is sent is decided in {@code loadbalancer.control};
 * docs/control-design.md lists the calls.
 */
package loadbalancer.http1.control;
