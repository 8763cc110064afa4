/**
 * What becomes of log lines. Everything logs through {@code System.Logger}; this decides form and
 * level.
 */
package loadbalancer.logging;
