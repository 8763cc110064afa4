/** Yardsticks: published balancing rules, played in the laboratory beside the module. */
package loadbalancer.lab.baseline;
