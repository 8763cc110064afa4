/** Admin endpoint through which operators query the readiness and metrics of a running process. */
package loadbalancer.admin;
