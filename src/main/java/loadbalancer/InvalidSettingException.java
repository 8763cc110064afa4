package loadbalancer;

/** A value of {@link LoadBalancerSettings} is out of its range; the message names it. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Of the setting of that name, with dots between a record and its component. */
    public InvalidSettingException(String settingName) {
        super("invalid setting: " + settingName);
    }
}
