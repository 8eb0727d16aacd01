package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

class ActiveSettingsTest {
  private static final double[] DELAYS = {100, 400};

  private static ActiveSettings worth(boolean byWork) {
    Settings base = BalancerHarness.settings(0, type("light", 2), type("heavy", 4));
    ActiveSettings rules =
        new ActiveSettings(
            new Settings(
                base.classes(),
                List.of(new Tenant("one", 0.5, 8)),
                0.05,
                byWork,
                0,
                0,
                4,
                "a",
                false,
                base.limits(),
                base.obligations()),
            null);
    System.arraycopy(DELAYS, 0, rules.classDelayNanos, 0, DELAYS.length);
    return rules;
  }

  private static RequestClass type(String name, double worth) {
    RequestClass safe = BalancerHarness.safe(name);
    return new RequestClass(
        name,
        safe.effect(),
        safe.group(),
        safe.aimNanos(),
        safe.deadlineNanos(),
        0,
        worth,
        0,
        false);
  }

  @Test
  void countsWorthForTheWorkWhereWorthIsByRequest() {
    assertEquals(1, worth(false).relativeWorth(0, -1, SECOND), 1e-12);
    assertEquals(0.5, worth(false).relativeWorth(1, -1, SECOND), 1e-12);
  }

  @Test
  void countsImportanceAloneWhereWorthIsByWork() {
    assertEquals(0.5, worth(true).relativeWorth(0, -1, SECOND), 1e-12);
    assertEquals(1, worth(true).relativeWorth(1, -1, SECOND), 1e-12);
  }

  @Test
  void aTenantOverItsPartOfTheQuotaCountsAsTheSettingsSay() {
    ActiveSettings worth = worth(true);
    int tenant = worth.tenantIndexOf("one");
    for (int i = 0; i < 2; i++) { // Two a second is this instance's part of eight.
      assertEquals(1, worth.relativeWorth(1, tenant, SECOND), 1e-12);
      worth.takeQuotaToken(tenant);
    }
    assertEquals(0.05, worth.relativeWorth(1, tenant, SECOND), 1e-12);
    assertEquals(1, worth.relativeWorth(1, tenant, 2 * SECOND), 1e-12);
  }

  @Test
  void refusedTriesTakeNothingFromTheQuota() {
    ActiveSettings worth = worth(true);
    for (int i = 0; i < 50; i++) {
      assertEquals(1, worth.relativeWorth(1, 0, SECOND), 1e-12);
    }
  }

  @Test
  void anUnknownTenantHasNoQuota() {
    assertEquals(-1, worth(true).tenantIndexOf("nobody"));
    assertTrue(worth(true).relativeWorth(1, -1, SECOND) > 0.99);
  }
}
