package loadbalancer.control.publish;

import loadbalancer.control.model.ResourceId;

/**
 * The last change of one resource: the resource as it is now, or that it was deleted.
 *
 * @param position of that change
 * @param id of the resource
 * @param isDeletion whether it was deleted
 * @param json the versioned resource, or for a deletion the identifier, as in an update part;
 *     shared, never changed
 */
record IndexEntry(Position position, ResourceId id, boolean isDeletion, byte[] json) {}
