/** Windows, their file, and what is in force at an instant. Knows nothing of a fleet. */
package loadbalancer.schedule.window;
