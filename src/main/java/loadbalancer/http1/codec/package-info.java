/**
 * Parts of the HTTP/1.1 codec that clients' and endpoints' connections share. Knows neither side.
 */
package loadbalancer.http1.codec;
