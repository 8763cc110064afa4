package loadbalancer;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Executing the request again has no further effect. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key; endpoints in its {@link IdempotencyScope} discard
     * repeats.
     */
    KEYED,
    /** The request must not be executed twice. */
    NOT_IDEMPOTENT
}
