package loadbalancer.rollout.plan;

import java.util.List;

/**
 * Keys of a plan file, documented in {@code docs/rollout.md}. The keys of metrics are in {@link
 * Metric}.
 */
final class PlanFieldNames {
    static final String ID = "id";
    static final String NUMBER = "number";
    static final String PROGRAM = "program";
    static final String OPERATOR_FILE = "operator";
    static final String DIGEST = "digest";
    static final String STAGE_FRACTIONS = "stages";
    static final String MIN_SERVING_FRACTION = "floor";
    static final String MAX_CONCURRENT_CHANGES = "at_once";
    static final String EXPOSURE = "exposure";
    static final String DEFAULT_MARGINS = "margins";
    static final String CLASS_MARGINS = "class";
    static final String ZONES = "zones";

    static final String BASELINE_SECONDS = "before";
    static final String MIN_REQUESTS = "requests";
    static final String MIN_SECONDS = "seconds";
    static final String MAX_SECONDS = "longest";

    /** Prefix of the digest, followed by 64 hexadecimal digits. */
    static final String DIGEST_PREFIX = "sha256:";

    static final List<String> TOP_LEVEL =
            List.of(
                    ID,
                    NUMBER,
                    PROGRAM,
                    OPERATOR_FILE,
                    DIGEST,
                    STAGE_FRACTIONS,
                    MIN_SERVING_FRACTION,
                    MAX_CONCURRENT_CHANGES,
                    EXPOSURE,
                    DEFAULT_MARGINS,
                    CLASS_MARGINS,
                    ZONES);

    static final List<String> EXPOSURE_KEYS =
            List.of(BASELINE_SECONDS, MIN_REQUESTS, MIN_SECONDS, MAX_SECONDS);

    private PlanFieldNames() {}
}
