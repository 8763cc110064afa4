/**
 * Replicated state of the fleet: documents, flags and counters whose merges are commutative,
 * associative and idempotent (state-based CRDTs). Members that received the same items therefore
 * have the same state, regardless of order, loss or repetition of datagrams. Logic without I/O.
 */
package loadbalancer.fleet.replication;
