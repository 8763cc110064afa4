package loadbalancer;

/**
 * The endpoints that discard the repeat of a request with an idempotency key. Cell numbers are
 * unique over all zones.
 */
public enum IdempotencyScope {
    /** All endpoints. */
    ALL,
    /** The endpoints in the zone of the first attempt. */
    ZONE,
    /** The endpoints in the cell of the first attempt. */
    CELL
}
