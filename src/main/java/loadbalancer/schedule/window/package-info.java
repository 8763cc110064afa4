/**
 * Windows of the calendar, their file format and recurrence (RFC 5545), and which of them are in
 * effect at an instant. Knows nothing of a fleet; no I/O but the reading of the file.
 */
package loadbalancer.schedule.window;
