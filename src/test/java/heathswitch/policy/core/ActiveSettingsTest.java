package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Worth of requests and quotas of tenants. */
class ActiveSettingsTest {
  private static final double[] DELAYS = {100, 400};

  private static ActiveSettings settings(boolean worthByWork) {
    Settings base = BalancerHarness.settings(0, requestClass("light", 2), requestClass("heavy", 4));
    ActiveSettings settings =
        new ActiveSettings(
            new Settings(
                base.classes(),
                List.of(new Tenant("one", 0.5, 8)),
                0.05,
                worthByWork,
                0,
                0,
                4,
                "a",
                false,
                base.limits(),
                base.obligations()),
            null);
    System.arraycopy(DELAYS, 0, settings.classDelayNanos, 0, DELAYS.length);
    return settings;
  }

  private static RequestClass requestClass(String name, double settings) {
    RequestClass safe = BalancerHarness.safeClass(name);
    return new RequestClass(
        name,
        safe.effect(),
        safe.group(),
        safe.aimNanos(),
        safe.deadlineNanos(),
        0,
        settings,
        0,
        false);
  }

  @Test
  void dividesWorthByDelayWhenWorthIsPerRequest() {
    assertEquals(1, settings(false).relativeWorth(0, -1, SECOND), 1e-12);
    assertEquals(0.5, settings(false).relativeWorth(1, -1, SECOND), 1e-12);
  }

  @Test
  void usesWorthAloneWhenWorthIsPerWork() {
    assertEquals(0.5, settings(true).relativeWorth(0, -1, SECOND), 1e-12);
    assertEquals(1, settings(true).relativeWorth(1, -1, SECOND), 1e-12);
  }

  @Test
  void appliesOverQuotaFactorToTenantOverItsQuota() {
    ActiveSettings settings = settings(true);
    int tenant = settings.tenantIndexOf("one");
    for (int i = 0; i < 2; i++) { // A quota of 8 per second over 4 balancers.
      assertEquals(1, settings.relativeWorth(1, tenant, SECOND), 1e-12);
      settings.takeQuotaToken(tenant);
    }
    assertEquals(0.05, settings.relativeWorth(1, tenant, SECOND), 1e-12);
    assertEquals(1, settings.relativeWorth(1, tenant, 2 * SECOND), 1e-12);
  }

  @Test
  void refusedRequestsDoNotUseQuota() {
    ActiveSettings settings = settings(true);
    for (int i = 0; i < 50; i++) {
      assertEquals(1, settings.relativeWorth(1, 0, SECOND), 1e-12);
    }
  }

  @Test
  void unknownTenantHasNoQuota() {
    assertEquals(-1, settings(true).tenantIndexOf("nobody"));
    assertTrue(settings(true).relativeWorth(1, -1, SECOND) > 0.99);
  }
}
