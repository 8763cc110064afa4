/**
 * Measures what the program costs by size, and recomputes the figures of docs/CAPACITY.md from what
 * was measured. A tool: nothing in service knows of it.
 */
package loadbalancer.capacity;
