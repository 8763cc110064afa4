package loadbalancer.faults.control.scale;

import loadbalancer.control.model.Revision;

/**
 * A change that the writer accepted.
 *
 * @param revision that it got
 * @param submittedMicros when it was submitted first
 * @param acceptedMicros when the answer came
 */
record AcceptedChange(Revision revision, long submittedMicros, long acceptedMicros) {}
