package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Discovery rejects the calls of several balancer processes for the list, for example after a
 * reload, while a server begins to drain. No balancer may send requests to that server once the
 * change counts as delivered and the grace time is over, even if the list never arrived.
 */
@Timeout(120)
class OverloadedDiscoveryTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(20));
  private static final PlatformSettings SETTINGS = new PlatformSettings(4000, 2000, 512, false);
  private static final int BALANCERS = 3;
  private static final double PER_SECOND = 40;

  /** Longer than the time until the change counts as delivered, plus the grace time. */
  private static final long PAST_GRACE_MILLIS = 10_500;

  private static PlatformFleet fleet(int seed) throws Exception {
    PlatformFleet fleet = new PlatformFleet(seed, SETTINGS, SHAPE);
    for (int i = 0; i < 4; i++) {
      fleet.addServer(false);
    }
    return fleet.startBalancers(BALANCERS);
  }

  private static List<HttpLoadGenerator> loads(PlatformFleet fleet) {
    List<HttpLoadGenerator> loads = new ArrayList<>();
    fleet.balancers().forEach(balancer -> loads.add(fleet.startLoad(balancer, PER_SECOND)));
    return loads;
  }

  private static long served(List<HttpLoadGenerator> loads) {
    return loads.stream().mapToLong(load -> load.stats().count(LoadStats.Result.SERVED)).sum();
  }

  private static void awaitAllWatching(PlatformFleet fleet) throws Exception {
    Await.until(
        "a watch of each balancer", () -> fleet.discovery().watchingBalancers() == BALANCERS);
  }

  private static void stopAndCheck(PlatformFleet fleet, List<HttpLoadGenerator> loads)
      throws Exception {
    for (HttpLoadGenerator load : loads) {
      load.stop();
    }
    List<RoutingHistory.LateRequest> late = fleet.lateRequests();
    assertEquals(0, late.size(), () -> "sent to a draining server, first " + late.get(0));
    assertEquals(0, fleet.ledger().lostCount(), "requests without an answer");
    assertEquals(
        0,
        fleet.ledger().duplicateRunCount(id -> id.contains("publish")),
        "duplicates of unsafe requests");
  }

  /**
   * Reproduces an incident: all calls are rejected from a reload until long after the grace time.
   */
  @Test
  void drainingServerGetsNoRequestsAfterGraceWhenAllCallsAreRejectedAfterReload() throws Exception {
    try (PlatformFleet fleet = fleet(71)) {
      List<HttpLoadGenerator> loads = loads(fleet);
      awaitAllWatching(fleet);
      fleet.discovery().setRejecting(true);
      for (PlatformBalancer balancer : fleet.balancers()) {
        fleet.reconfigure(balancer);
      }
      fleet.drain("s-1");
      Thread.sleep(PAST_GRACE_MILLIS);
      fleet.discovery().setRejecting(false);
      awaitAllWatching(fleet);
      long before = served(loads);
      Await.until("requests served after the end of rejections", () -> served(loads) > before + 60);
      stopAndCheck(fleet, loads);
    }
  }

  /** Watches are reset without a reload: the same time limit holds. */
  @Test
  void drainingServerGetsNoRequestsAfterGraceWhenWatchesAreResetAndCallsRejected()
      throws Exception {
    try (PlatformFleet fleet = fleet(72)) {
      List<HttpLoadGenerator> loads = loads(fleet);
      awaitAllWatching(fleet);
      fleet.discovery().setRejecting(true);
      fleet.discovery().resetWatches();
      fleet.drain("s-2");
      Thread.sleep(PAST_GRACE_MILLIS);
      fleet.discovery().setRejecting(false);
      stopAndCheck(fleet, loads);
    }
  }

  /** Discovery can't have delivered a change during its outage, so balancers must keep serving. */
  @Test
  void requestsAreServedDuringDiscoveryOutage() throws Exception {
    try (PlatformFleet fleet = fleet(73)) {
      List<HttpLoadGenerator> loads = loads(fleet);
      awaitAllWatching(fleet);
      fleet.discovery().setDown(true);
      Thread.sleep(PAST_GRACE_MILLIS);
      long before = served(loads);
      Await.until("requests served", () -> served(loads) > before + 60);
      fleet.discovery().setDown(false);
      fleet.drain("s-3");
      awaitAllWatching(fleet);
      stopAndCheck(fleet, loads);
      assertTrue(refused(loads) < served(loads) / 20, "refused " + refused(loads));
    }
  }

  private static long refused(List<HttpLoadGenerator> loads) {
    return loads.stream().mapToLong(load -> load.stats().count(LoadStats.Result.REFUSED)).sum();
  }
}
