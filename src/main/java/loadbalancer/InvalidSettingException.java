package loadbalancer;

/**
 * Thrown if a value of {@link LoadBalancerSettings} is out of its range. The message names the
 * setting.
 */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for the setting with this name; a dot separates a record and its
     * component.
     */
    public InvalidSettingException(String settingName) {
        super("invalid setting: " + settingName);
    }
}
