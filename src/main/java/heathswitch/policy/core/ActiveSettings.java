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
  static final double SAVED_SECONDS = 1;

  final Settings settings;
  final Settings.Limits limits;
  final double[] classDelay;
  final long[] classCount;
  private final Map<String, Integer> classIndex = new HashMap<>();
  private final Map<String, Integer> tenantIndex = new HashMap<>();
  private final double[] quotaPerSecond;
  private final double[] tokens;
  private final long[] filledNanos;

  /** Takes over what was learned of the same names under the version before, or null. */
  ActiveSettings(Settings settings, ActiveSettings before) {
    this.settings = settings;
    this.limits = settings.limits();
    this.classDelay = new double[settings.classes().size()];
    this.classCount = new long[classDelay.length];
    for (int i = 0; i < classDelay.length; i++) {
      String name = settings.classes().get(i).name();
      classIndex.put(name, i);
      Integer old = before == null ? null : before.classIndex.get(name);
      classDelay[i] = old == null ? type(i).aimNanos() / 4.0 : before.classDelay[old];
      classCount[i] = old == null ? 0 : before.classCount[old];
    }
    this.quotaPerSecond = new double[settings.tenants().size()];
    this.tokens = new double[quotaPerSecond.length];
    this.filledNanos = new long[quotaPerSecond.length];
    for (int i = 0; i < quotaPerSecond.length; i++) {
      Tenant tenant = settings.tenants().get(i);
      tenantIndex.put(tenant.name(), i);
      quotaPerSecond[i] = tenant.quotaPerSecond() / settings.instances();
      Integer old = before == null ? null : before.tenantIndex.get(tenant.name());
      tokens[i] = old == null ? most(i) : Math.min(most(i), before.tokens[old]);
      filledNanos[i] = old == null ? 0 : before.filledNanos[old];
    }
  }

  RequestClass type(int index) {
    return settings.classes().get(index);
  }

  /** Place of a class; the first one's for a name that the settings do not know. */
  int classOf(String name) {
    return classIndex.getOrDefault(name, 0);
  }

  /** Place of a tenant, or -1 for one that the settings do not name. */
  int tenant(String name) {
    return tenantIndex.getOrDefault(name, -1);
  }

  /** From 0 to 1, where 1 is the class that is worth most for its work, inside its quota. */
  double relative(int classIndex, int tenant, long nowNanos) {
    double best = 0;
    for (int i = 0; i < classDelay.length; i++) {
      best = Math.max(best, perWork(i));
    }
    double relative = best > 0 ? perWork(classIndex) / best : 1;
    return overShare(tenant, nowNanos) ? relative * settings.overQuotaFactor() : relative;
  }

  /** The tenant has been let in. A refused try takes nothing, or retries would eat the quota. */
  void take(int tenant) {
    if (tenant >= 0) {
      tokens[tenant] = Math.max(0, tokens[tenant] - 1);
    }
  }

  private double perWork(int index) {
    double worth = type(index).worth();
    return settings.worthByWork() ? worth : worth / classDelay[index];
  }

  private boolean overShare(int tenant, long nowNanos) {
    if (tenant < 0 || quotaPerSecond[tenant] <= 0) {
      return false;
    }
    double filled = (nowNanos - filledNanos[tenant]) / 1e9 * quotaPerSecond[tenant];
    tokens[tenant] = Math.min(most(tenant), tokens[tenant] + filled);
    filledNanos[tenant] = nowNanos;
    return tokens[tenant] < 1;
  }

  private double most(int tenant) {
    return Math.max(2, SAVED_SECONDS * quotaPerSecond[tenant]);
  }
}
