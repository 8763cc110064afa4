package loadbalancer.rollout.analysis;

/** A member's verdict on the open stage, and its reason as a line for operators. */
public record Verdict(Kind kind, String reason) {
    /** What follows from the verdict. */
    public enum Kind {
        /** Not enough is known: the stage goes on. */
        INCONCLUSIVE,
        /** The next stage may open. */
        PASS,
        /** The rollout must be halted. */
        FAIL
    }

    /** Not enough is known, for that reason. */
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
