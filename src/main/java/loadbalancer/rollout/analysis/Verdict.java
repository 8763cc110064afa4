package loadbalancer.rollout.analysis;

/** A member's verdict on the open stage with its reason, one line for operators. */
public record Verdict(Kind kind, String reason) {
    /** The result of the analysis. */
    public enum Kind {
        /** The evidence is not sufficient, so the stage continues. */
        INCONCLUSIVE,
        /** The next stage may open. */
        PASS,
        /** The rollout must be halted. */
        FAIL
    }

    /** Creates an inconclusive verdict. */
    public static Verdict inconclusive(String reason) {
        return new Verdict(Kind.INCONCLUSIVE, reason);
    }

    static Verdict pass(String reason) {
        return new Verdict(Kind.PASS, reason);
    }

    static Verdict fail(String reason) {
        return new Verdict(Kind.FAIL, reason);
    }
}
