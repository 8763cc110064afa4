package loadbalancer.control.publish;

import loadbalancer.control.model.ResourceId;

/**
 * The last change of one resource, which is either its current content or its deletion.
 *
 * @param position the position of the change in the index
 * @param id the identifier of the resource
 * @param isDeletion whether the change deleted the resource
 * @param json the JSON of the versioned resource, or of the identifier for a deletion, as in an
 *     update part; shared and never modified
 */
record IndexEntry(Position position, ResourceId id, boolean isDeletion, byte[] json) {}
