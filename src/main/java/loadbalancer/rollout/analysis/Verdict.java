package loadbalancer.rollout.analysis;

/** What a member holds of a stage, and why in plain words. */
public record Verdict(Kind kind, String reason) {
    /** Waiting is what is not known well enough. */
    public enum Kind {
        WAIT,
        GO,
        STOP
    }

    static Verdict waits(String reason) {
        return new Verdict(Kind.WAIT, reason);
    }

    static Verdict stop(String reason) {
        return new Verdict(Kind.STOP, reason);
    }
}
