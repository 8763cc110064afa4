package loadbalancer;

/**
 * Which endpoints discard the repeat of a request with an idempotency key. Cell numbers are unique
 * over all zones.
 */
public enum IdempotencyScope {
    /** All endpoints. */
    ALL,
    /** Those of the zone of the first attempt. */
    ZONE,
    /** Those of the cell of the first attempt. */
    CELL
}
