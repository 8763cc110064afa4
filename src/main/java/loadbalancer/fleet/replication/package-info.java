/**
 * Documents, flags and counters whose merges are commutative, associative and idempotent, so that
 * whatever the order, loss or repetition of datagrams, members that heard the same hold the same.
 * Pure logic.
 */
package loadbalancer.fleet.replication;
