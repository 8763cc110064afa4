package loadbalancer.schedule.agreement;

/** Topics under which the fleet replicates the calendar; all versions use the same names. */
final class CalendarTopics {
    static final String PREFIX = "calendar/";

    /** Topic of the documents with each member's {@link RevisionStatement}. */
    static final String VOTES = PREFIX + "holds";

    /** Topic of the documents with the text of a revision, for members that lack it. */
    static final String TEXT = PREFIX + "text";

    private static final String REVOKED_PREFIX = PREFIX + "revoked/";

    private CalendarTopics() {}

    /** Returns the topic of the flag that revokes a revision. */
    static String revoked(String digest) {
        return REVOKED_PREFIX + digest;
    }
}
