package loadbalancer.schedule.agreement;

/** Topics under which the fleet replicates the calendar; other versions have the same. */
final class CalendarTopics {
    static final String PREFIX = "calendar/";

    /** Documents: each member's {@link RevisionStatement}. */
    static final String VOTES = PREFIX + "holds";

    /** Documents: the text of a revision, for members without it. */
    static final String TEXT = PREFIX + "text";

    private static final String REVOKED_PREFIX = PREFIX + "revoked/";

    private CalendarTopics() {}

    /** The flag that revokes a revision. */
    static String revoked(String digest) {
        return REVOKED_PREFIX + digest;
    }
}
