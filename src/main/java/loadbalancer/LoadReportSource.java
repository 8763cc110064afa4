package loadbalancer;

/** The sources of load reports from endpoints. */
public enum LoadReportSource {
    /** Reports arrive with responses and with replies to probes. */
    RESPONSES,
    /** Reports arrive only with replies to probes. */
    PROBES,
    /** Endpoints send no load reports. */
    NONE
}
