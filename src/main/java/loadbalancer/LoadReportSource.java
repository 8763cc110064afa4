package loadbalancer;

/** How load reports of endpoints arrive. */
public enum LoadReportSource {
    /** With responses, and with the results of probes. */
    RESPONSES,
    /** With the results of probes only. */
    PROBES,
    /** Not at all. */
    NONE
}
