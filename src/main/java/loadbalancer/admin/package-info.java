/** The admin endpoint, at which operators ask a running process for readiness and metrics. */
package loadbalancer.admin;
