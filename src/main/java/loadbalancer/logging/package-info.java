/**
 * Configuration of log lines: format, level and filters of repeated lines. All code logs through
 * {@code System.Logger}.
 */
package loadbalancer.logging;
