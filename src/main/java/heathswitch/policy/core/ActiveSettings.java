package heathswitch.policy.core;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * One version of the settings together with the state learned under it: the mean delays of the
 * classes and the remaining quotas of the tenants. A request keeps the version that it was admitted
 * under. Differs from the paper, which refuses whatever arrives when there is no room: a tenant far
 * over its quota would then displace tenants that keep within theirs.
 */
final class ActiveSettings {
  /** Quota that a tenant can save up, in seconds of its rate. */
  static final double QUOTA_BURST_SECONDS = 1;

  final Settings declared;
  final Settings.Limits limits;

  /** Mean delay of each class. */
  final double[] classDelayNanos;

  /** Delay samples taken of each class. */
  final long[] classSamples;

  private final Map<String, Integer> classIndex = new HashMap<>();
  private final Map<String, Integer> tenantIndex = new HashMap<>();
  private final double[] quotaPerSecond;
  private final double[] quotaTokens;
  private final long[] quotaFilledNanos;

  /**
   * Creates the state for new settings.
   *
   * @param previous the version before, from which classes and tenants of the same name keep their
   *     learned state; null for none
   */
  ActiveSettings(Settings settings, ActiveSettings previous) {
    this.declared = settings;
    this.limits = settings.limits();
    this.classDelayNanos = new double[settings.classes().size()];
    this.classSamples = new long[classDelayNanos.length];
    for (int i = 0; i < classDelayNanos.length; i++) {
      String name = settings.classes().get(i).name();
      classIndex.put(name, i);
      Integer old = previous == null ? null : previous.classIndex.get(name);
      classDelayNanos[i] =
          old == null ? requestClass(i).aimNanos() / 4.0 : previous.classDelayNanos[old];
      classSamples[i] = old == null ? 0 : previous.classSamples[old];
    }
    this.quotaPerSecond = new double[settings.tenants().size()];
    this.quotaTokens = new double[quotaPerSecond.length];
    this.quotaFilledNanos = new long[quotaPerSecond.length];
    for (int i = 0; i < quotaPerSecond.length; i++) {
      Tenant tenant = settings.tenants().get(i);
      tenantIndex.put(tenant.name(), i);
      quotaPerSecond[i] = tenant.quotaPerSecond() / settings.instances();
      Integer old = previous == null ? null : previous.tenantIndex.get(tenant.name());
      quotaTokens[i] =
          old == null ? maxQuotaTokens(i) : Math.min(maxQuotaTokens(i), previous.quotaTokens[old]);
      quotaFilledNanos[i] = old == null ? 0 : previous.quotaFilledNanos[old];
    }
  }

  RequestClass requestClass(int index) {
    return declared.classes().get(index);
  }

  /** Index of a class; 0 for a name that the settings do not contain. */
  int classIndexOf(String name) {
    return classIndex.getOrDefault(name, 0);
  }

  /** Index of a tenant; -1 for a name that the settings do not contain. */
  int tenantIndexOf(String name) {
    return tenantIndex.getOrDefault(name, -1);
  }

  /**
   * Worth of a request for admission, from 0 to 1. The class with the most worth per unit of work
   * has 1; a tenant over its quota has its worth multiplied by the factor in the settings.
   */
  double relativeWorth(int classIndex, int tenant, long nowNanos) {
    double best = 0;
    for (int i = 0; i < classDelayNanos.length; i++) {
      best = Math.max(best, worthPerWork(i));
    }
    double worth = best > 0 ? worthPerWork(classIndex) / best : 1;
    return overQuota(tenant, nowNanos) ? worth * declared.overQuotaFactor() : worth;
  }

  /**
   * Charges the tenant for an admitted request. Refused requests are not charged, or retries would
   * use up the quota.
   */
  void takeQuotaToken(int tenant) {
    if (tenant >= 0) {
      quotaTokens[tenant] = Math.max(0, quotaTokens[tenant] - 1);
    }
  }

  private double worthPerWork(int index) {
    double worth = requestClass(index).worth();
    return declared.worthByWork() ? worth : worth / classDelayNanos[index];
  }

  /** Refills the tenant's token bucket; true if it holds less than one token. */
  private boolean overQuota(int tenant, long nowNanos) {
    if (tenant < 0 || quotaPerSecond[tenant] <= 0) {
      return false;
    }
    double added = (nowNanos - quotaFilledNanos[tenant]) / 1e9 * quotaPerSecond[tenant];
    quotaTokens[tenant] = Math.min(maxQuotaTokens(tenant), quotaTokens[tenant] + added);
    quotaFilledNanos[tenant] = nowNanos;
    return quotaTokens[tenant] < 1;
  }

  /** Size of a tenant's token bucket. */
  private double maxQuotaTokens(int tenant) {
    return Math.max(2, QUOTA_BURST_SECONDS * quotaPerSecond[tenant]);
  }
}
