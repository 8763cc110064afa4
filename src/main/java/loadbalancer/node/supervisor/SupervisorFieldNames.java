package loadbalancer.node.supervisor;

import java.util.List;

/** Keys of the supervisor's configuration file, documented in {@code docs/rollout.md}. */
final class SupervisorFieldNames {
    static final String PROGRAMS = "programs";
    static final String OPERATOR_FILES = "operators";
    static final String INITIAL_PROGRAM = "program";
    static final String INITIAL_OPERATOR_FILE = "operator";
    static final String STATE_FOLDER = "state";
    static final String ADMIN_ADDRESSES = "doors";
    static final String JAVA_OPTIONS = "options";

    static final List<String> ALL =
            List.of(
                    PROGRAMS,
                    OPERATOR_FILES,
                    INITIAL_PROGRAM,
                    INITIAL_OPERATOR_FILE,
                    STATE_FOLDER,
                    ADMIN_ADDRESSES,
                    JAVA_OPTIONS);

    private SupervisorFieldNames() {}
}
