package loadbalancer.rollout.stage;

/** Topics under which the fleet replicates a rollout; all versions use the same names. */
final class RolloutTopics {
    /** Topic of the documents with the texts of plans. */
    static final String PLAN = "rollout/plan";

    private static final String STATEMENT_PREFIX = "rollout/state/";
    private static final String HALT_PREFIX = "rollout/halt/";

    private RolloutTopics() {}

    /** Returns the topic of each member's {@link RolloutStatement} on a plan. */
    static String statements(String planKey) {
        return STATEMENT_PREFIX + planKey;
    }

    /** Returns the topic of the flag that halts a plan. */
    static String halt(String planKey) {
        return HALT_PREFIX + planKey;
    }
}
