/** How a factor moves the point that the reweighting steers to. Arithmetic that decides nothing. */
package loadbalancer.schedule.weighting;
