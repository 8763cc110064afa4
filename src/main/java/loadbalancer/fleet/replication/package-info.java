/**
 * Replicated state: documents, flags and counters whose merges are commutative, associative and
 * idempotent (state-based CRDTs), so that members which received the same items hold the same state
 * whatever the order, loss or repetition of datagrams. Logic without I/O.
 */
package loadbalancer.fleet.replication;
