/**
 * Configuration resources that control machines distribute to balancers: typed resources, atomic
 * changes, revisions and digests. No I/O, clock or thread.
 */
package loadbalancer.control.model;
