package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Servers are replaced under new ids while a balancer runs; old ones must not accumulate. */
class MembershipTest {
  private final Settings settings = BalancerHarness.settings(0, BalancerHarness.safeClass("view"));
  private final Membership members =
      new Membership(settings, new BalancerHarness(settings), new SplittableRandom(1));

  private void update(ListUpdate update, Health health, long... ids) {
    List<ServerEntry> entries =
        java.util.Arrays.stream(ids).mapToObj(id -> entry(id, health)).toList();
    members.onListUpdate(0, update, entries);
  }

  @Test
  void forgetsRemovedServers() {
    update(ListUpdate.FULL, Health.READY, 1, 2, 3);
    update(ListUpdate.DELTA, Health.GONE, 1);
    assertNull(members.servers.get(1L));
    update(ListUpdate.FULL, Health.READY, 3);
    assertNull(members.servers.get(2L));
    assertNotNull(members.servers.get(3L));
  }

  @Test
  void keepsRemovedServerUntilItsLastCallEnds() {
    update(ListUpdate.FULL, Health.READY, 1, 2);
    members.servers.get(1L).inFlight = 1;
    update(ListUpdate.FULL, Health.READY, 2);
    assertNotNull(members.servers.get(1L));
    members.servers.get(1L).inFlight = 0;
    update(ListUpdate.DELTA, Health.READY, 2);
    assertNull(members.servers.get(1L));
  }

  private static ServerEntry entry(long id, Health health) {
    return new ServerEntry(id, "a", "std", 1, health, 1, 0);
  }
}
