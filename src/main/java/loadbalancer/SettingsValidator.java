package loadbalancer;

/** Checks that the values of settings are within their ranges. */
public final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks all settings.
     *
     * @throws InvalidSettingException for the first value that is out of its range
     */
    public static void check(LoadBalancerSettings settings) {
        require(!settings.requestClasses().isEmpty(), "requestClasses");
        require(settings.zoneCount() >= 1, "zoneCount");
        require(
                settings.zoneIndex() >= 0 && settings.zoneIndex() < settings.zoneCount(),
                "zoneIndex");
        require(settings.balancerCount() >= 1, "balancerCount");
        require(settings.balancerIndex() >= 0, "balancerIndex");
        require(settings.overQuotaWeightRatio() >= 0, "overQuotaWeightRatio");
        require(settings.tickMicros() >= 0, "tickMicros");
        settings.requestClasses().forEach(SettingsValidator::checkClass);
        settings.tenantQuotas().forEach(SettingsValidator::checkQuota);
        checkLimits(settings.limits());
        checkRuleLimits(settings.ruleLimits());
        checkPrices(settings.prices());
    }

    private static void checkClass(RequestClass requestClass) {
        require(requestClass.latencyObjectiveMicros() > 0, "requestClasses.latencyObjectiveMicros");
        require(requestClass.clientTimeoutMicros() > 0, "requestClasses.clientTimeoutMicros");
        require(requestClass.priorityWeight() >= 0, "requestClasses.priorityWeight");
        require(requestClass.lateResponseRatio() >= 0, "requestClasses.lateResponseRatio");
        require(
                requestClass.idempotencyWindowMicros() >= 0,
                "requestClasses.idempotencyWindowMicros");
        require(requestClass.objectiveWorkMultiple() >= 0, "requestClasses.objectiveWorkMultiple");
    }

    private static void checkQuota(TenantQuota quota) {
        require(quota.requestsPerSecond() >= 0, "tenantQuotas.requestsPerSecond");
        require(quota.serviceFraction() >= 0, "tenantQuotas.serviceFraction");
    }

    private static void checkLimits(LoadBalancerLimits limits) {
        require(limits.maxAttempts() >= 1, "limits.maxAttempts");
        require(limits.maxOpenRequests() >= 0, "limits.maxOpenRequests");
        require(limits.maxRetryAfterMicros() >= 0, "limits.maxRetryAfterMicros");
        require(limits.connectTimeoutMicros() >= 0, "limits.connectTimeoutMicros");
        require(limits.idleConnectionTimeoutMicros() >= 0, "limits.idleConnectionTimeoutMicros");
        require(limits.attemptsPerConnection() >= 0, "limits.attemptsPerConnection");
    }

    private static void checkRuleLimits(RuleLimits rules) {
        require(
                rules.initialCapacityRatio() >= 0 && rules.initialCapacityRatio() <= 1,
                "ruleLimits.initialCapacityRatio");
        require(rules.slowStartMicros() >= 0, "ruleLimits.slowStartMicros");
        require(rules.drainGraceMicros() >= 0, "ruleLimits.drainGraceMicros");
        require(rules.overloadCapacityMultiple() >= 0, "ruleLimits.overloadCapacityMultiple");
        require(rules.overloadWindowMicros() >= 0, "ruleLimits.overloadWindowMicros");
        require(rules.finalResponseSlackMicros() >= 0, "ruleLimits.finalResponseSlackMicros");
        require(rules.maxListAgeMicros() >= 0, "ruleLimits.maxListAgeMicros");
    }

    private static void checkPrices(Prices prices) {
        require(prices.probe() >= 0, "prices.probe");
        require(prices.peerMessage() >= 0, "prices.peerMessage");
        require(prices.crossZoneAttempt() >= 0, "prices.crossZoneAttempt");
        require(prices.wastedWork() >= 0, "prices.wastedWork");
        require(prices.lateFailure() >= 0, "prices.lateFailure");
        require(prices.connectionHandshake() >= 0, "prices.connectionHandshake");
    }

    private static void require(boolean isValid, String settingName) {
        if (!isValid) {
            throw new InvalidSettingException(settingName);
        }
    }
}
