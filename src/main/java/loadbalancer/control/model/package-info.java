/**
 * Configuration resources that control servers distribute to balancers: typed resources, atomic
 * changes, revisions and digests. The package uses no I/O, clocks or threads.
 */
package loadbalancer.control.model;
