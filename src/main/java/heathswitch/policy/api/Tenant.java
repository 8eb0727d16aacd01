package heathswitch.policy.api;

/**
 * A tenant of the service.
 *
 * @param portion its share of the service
 * @param quotaPerSecond requests per second, for all balancers together
 */
public record Tenant(String name, double portion, double quotaPerSecond) {
  public Tenant {
    Settings.require(name != null && !name.isEmpty(), "tenants[].name");
    Settings.require(portion >= 0, "tenants[].portion");
    Settings.require(quotaPerSecond >= 0, "tenants[].quota_rps");
  }
}
