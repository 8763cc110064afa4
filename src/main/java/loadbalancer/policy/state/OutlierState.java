package loadbalancer.policy.state;

/** What health keeps of an upstream. */
public final class OutlierState {
    /** A time before all others. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** The share of errors lately. */
    public double errors;

    /** Its last sign, or the first sending after it had nothing in flight. */
    public long progressAt;

    /** Its last answer. */
    public long answeredAt = NEVER;

    /** The end of the ejection, past if there is none. */
    public long ejectedUntil;

    /** How long the next one is. */
    public long ejection;

    /** Whether it was ejected since it gave no sign. */
    public boolean hanging;
}
