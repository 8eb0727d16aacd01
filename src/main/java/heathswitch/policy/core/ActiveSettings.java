package heathswitch.policy.core;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * One version of the settings with what is learned under it: delays of classes, quotas left. Each
 * request keeps the version it was taken under. A departure: the paper refuses whoever comes when
 * there is no room, and a tenant far over its quota would push out those that keep to theirs.
 */
final class ActiveSettings {
  /** Seconds of quota that a tenant may have saved up. */
  static final double QUOTA_BURST_SECONDS = 1;

  final Settings declared;
  final Settings.Limits limits;
  final double[] classDelayNanos;
  final long[] classSamples;
  private final Map<String, Integer> classIndex = new HashMap<>();
  private final Map<String, Integer> tenantIndex = new HashMap<>();
  private final double[] quotaPerSecond;
  private final double[] quotaTokens;
  private final long[] quotaFilledNanos;

  /** Takes over what was learned of the same names under the version before, or null. */
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

  /** Place of a class; the first one's for a name that the settings do not know. */
  int classIndexOf(String name) {
    return classIndex.getOrDefault(name, 0);
  }

  /** Place of a tenant, or -1 for one that the settings do not name. */
  int tenantIndexOf(String name) {
    return tenantIndex.getOrDefault(name, -1);
  }

  /** From 0 to 1, where 1 is the class that is worth most for its work, inside its quota. */
  double relativeWorth(int classIndex, int tenant, long nowNanos) {
    double best = 0;
    for (int i = 0; i < classDelayNanos.length; i++) {
      best = Math.max(best, worthPerWork(i));
    }
    double worth = best > 0 ? worthPerWork(classIndex) / best : 1;
    return overQuota(tenant, nowNanos) ? worth * declared.overQuotaFactor() : worth;
  }

  /** The tenant has been let in. A refused try takes nothing, or retries would eat the quota. */
  void takeQuotaToken(int tenant) {
    if (tenant >= 0) {
      quotaTokens[tenant] = Math.max(0, quotaTokens[tenant] - 1);
    }
  }

  private double worthPerWork(int index) {
    double worth = requestClass(index).worth();
    return declared.worthByWork() ? worth : worth / classDelayNanos[index];
  }

  private boolean overQuota(int tenant, long nowNanos) {
    if (tenant < 0 || quotaPerSecond[tenant] <= 0) {
      return false;
    }
    double added = (nowNanos - quotaFilledNanos[tenant]) / 1e9 * quotaPerSecond[tenant];
    quotaTokens[tenant] = Math.min(maxQuotaTokens(tenant), quotaTokens[tenant] + added);
    quotaFilledNanos[tenant] = nowNanos;
    return quotaTokens[tenant] < 1;
  }

  private double maxQuotaTokens(int tenant) {
    return Math.max(2, QUOTA_BURST_SECONDS * quotaPerSecond[tenant]);
  }
}
