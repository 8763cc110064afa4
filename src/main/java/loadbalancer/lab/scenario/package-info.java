/** Scenario files: their keys, their checking, and the draw of one world from their ranges. */
package loadbalancer.lab.scenario;
