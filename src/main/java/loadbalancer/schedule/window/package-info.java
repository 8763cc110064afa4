/**
 * Reads the windows of the calendar with their recurrence (RFC 5545) and determines which of them
 * are in effect at an instant. Independent of the fleet; the only I/O is reading the file.
 */
package loadbalancer.schedule.window;
