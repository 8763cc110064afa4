package loadbalancer;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Executing it again does no harm. */
    IDEMPOTENT,
    /** It has an idempotency key; endpoints in its {@link IdempotencyScope} discard repeats. */
    KEYED,
    /** It must not be executed twice. */
    NOT_IDEMPOTENT
}
