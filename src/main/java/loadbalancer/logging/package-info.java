/**
 * Log configuration: line format, levels and filters for repeated lines. All code logs through
 * {@code System.Logger}.
 */
package loadbalancer.logging;
