package loadbalancer.schedule.window;

import java.util.List;

/** Keys of a calendar file, documented in {@code docs/calendar.md}. */
final class CalendarFieldNames {
    static final String NUMBER = "revision";
    static final String EFFECTIVE_FROM = "from";
    static final String REVOKED_DIGESTS = "revoke";
    static final String WINDOWS = "window";

    static final String NAME = "name";
    static final String START = "start";
    static final String TIME_ZONE = "zone";
    static final String RECURRENCE_RULE = "rrule";
    static final String LENGTH = "length";
    static final String EXCLUDED = "except";
    static final String RAMP_SECONDS = "ramp";
    static final String TARGET = "target";
    static final String CLASSES = "classes";
    static final String TENANTS = "tenants";
    static final String FACTOR = "factor";
    static final String PRIORITY = "priority";

    static final String TARGET_KIND = "kind";
    static final String TARGET_ZONE = "zone";
    static final String TARGET_CELL = "cell";
    static final String TARGET_IDS = "ids";

    static final List<String> TOP_LEVEL = List.of(NUMBER, EFFECTIVE_FROM, REVOKED_DIGESTS, WINDOWS);

    static final List<String> WINDOW_KEYS =
            List.of(
                    NAME,
                    START,
                    TIME_ZONE,
                    RECURRENCE_RULE,
                    LENGTH,
                    EXCLUDED,
                    RAMP_SECONDS,
                    TARGET,
                    CLASSES,
                    TENANTS,
                    FACTOR,
                    PRIORITY);

    static final List<String> TARGET_KEYS =
            List.of(TARGET_KIND, TARGET_ZONE, TARGET_CELL, TARGET_IDS);

    private CalendarFieldNames() {}
}
