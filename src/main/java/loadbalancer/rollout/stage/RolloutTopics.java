package loadbalancer.rollout.stage;

/** Topics under which the fleet replicates a rollout; other versions have the same. */
final class RolloutTopics {
    /** Documents: texts of plans. */
    static final String PLAN = "rollout/plan";

    private static final String STATEMENT_PREFIX = "rollout/state/";
    private static final String HALT_PREFIX = "rollout/halt/";

    private RolloutTopics() {}

    /** Documents: each member's {@link RolloutStatement} on a plan. */
    static String statements(String planKey) {
        return STATEMENT_PREFIX + planKey;
    }

    /** The flag that halts a plan. */
    static String halt(String planKey) {
        return HALT_PREFIX + planKey;
    }
}
