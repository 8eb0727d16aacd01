package meadowtrack.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import meadowtrack.api.RequestClass;
import meadowtrack.api.Settings;
import meadowtrack.api.Tenant;

/**
 * What a request is worth for the work it takes, against the best of its kind. A departure: the
 * paper refuses whoever comes when there is no room, and a tenant far over its quota would then
 * push out those that keep to theirs.
 */
final class Worth {
  /** Seconds of quota that a tenant may have saved up. */
  static final double SAVED_SECONDS = 1;

  private final List<RequestClass> classes;
  private final boolean byWork;
  private final double overShareWorth;
  private final Map<String, Integer> tenantIndex = new HashMap<>();
  private final double[] quotaPerSecond;
  private final double[] tokens;
  private final long[] filledNanos;

  Worth(Settings settings) {
    this.classes = settings.classes();
    this.byWork = settings.worthByWork();
    this.overShareWorth = settings.overShareWorth();
    this.quotaPerSecond = new double[settings.tenants().size()];
    this.tokens = new double[quotaPerSecond.length];
    this.filledNanos = new long[quotaPerSecond.length];
    for (int i = 0; i < quotaPerSecond.length; i++) {
      Tenant tenant = settings.tenants().get(i);
      tenantIndex.put(tenant.name(), i);
      quotaPerSecond[i] = tenant.quotaPerSecond() / settings.instances();
      tokens[i] = most(i);
    }
  }

  /** Place of a tenant, or -1 for one that the settings do not name. */
  int tenant(String name) {
    return tenantIndex.getOrDefault(name, -1);
  }

  /** From 0 to 1, where 1 is the class that is worth most for its work, inside its quota. */
  double relative(int classIndex, int tenant, double[] classDelay, long nowNanos) {
    double best = 0;
    for (int i = 0; i < classDelay.length; i++) {
      best = Math.max(best, perWork(i, classDelay));
    }
    double relative = best > 0 ? perWork(classIndex, classDelay) / best : 1;
    return overShare(tenant, nowNanos) ? relative * overShareWorth : relative;
  }

  /** The tenant has been let in. A refused try takes nothing, or retries would eat the quota. */
  void take(int tenant) {
    if (tenant >= 0) {
      tokens[tenant] = Math.max(0, tokens[tenant] - 1);
    }
  }

  private double perWork(int index, double[] classDelay) {
    double worth = classes.get(index).worth();
    return byWork ? worth : worth / classDelay[index];
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
