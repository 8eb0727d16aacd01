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
 * One of several balancer processes can't reach discovery, which serves all others. The balancer
 * may not use the servers of its former list forever, but doesn't have to stop serving either.
 */
@Timeout(120)
class UnreachableDiscoveryTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(20));
  private static final PlatformSettings SETTINGS = new PlatformSettings(1000, 2000, 512, false);
  private static final int BALANCERS = 3;
  private static final int SERVERS = 6;
  private static final double PER_SECOND = 30;

  /**
   * As long as in the observed failure, and longer than any rule allows until a change counts as
   * delivered.
   */
  private static final long UNREACHABLE_MILLIS = 14_000;

  private static PlatformFleet fleet(int seed) throws Exception {
    PlatformFleet fleet = new PlatformFleet(seed, SETTINGS, SHAPE);
    for (int i = 0; i < SERVERS; i++) {
      fleet.addServer(false);
    }
    return fleet.startBalancers(BALANCERS);
  }

  private static List<HttpLoadGenerator> loads(PlatformFleet fleet) {
    List<HttpLoadGenerator> loads = new ArrayList<>();
    fleet.balancers().forEach(balancer -> loads.add(fleet.startLoad(balancer, PER_SECOND)));
    return loads;
  }

  private static long served(HttpLoadGenerator load) {
    return load.stats().count(LoadStats.Result.SERVED);
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

  private static void drainTwoServers(PlatformFleet fleet) throws Exception {
    fleet.drainAndReject("s-1");
    Thread.sleep(500);
    fleet.drainAndReject("s-2");
  }

  /** Reproduces an observed failure: two reloads, then all calls refused, then servers drain. */
  @Test
  void drainingServersGetNoRequestsAfterGraceWhenCallsAreRefusedAfterReload() throws Exception {
    try (PlatformFleet fleet = fleet(91)) {
      List<HttpLoadGenerator> loads = loads(fleet);
      Await.until(
          "a watch of each balancer", () -> fleet.discovery().watchingBalancers() == BALANCERS);
      PlatformBalancer cutOff = fleet.balancers().get(0);
      fleet.reconfigure(cutOff);
      Thread.sleep(100);
      fleet.reconfigure(cutOff);
      fleet.discovery().setRefusing(cutOff.name(), true);
      drainTwoServers(fleet);
      Thread.sleep(UNREACHABLE_MILLIS / 2);
      long before = served(loads.get(0));
      Thread.sleep(UNREACHABLE_MILLIS / 2);
      long later = served(loads.get(0)) - before;
      assertTrue(
          later > PER_SECOND * UNREACHABLE_MILLIS / 2000 / 2, "served while cut off: " + later);
      fleet.discovery().setRefusing(cutOff.name(), false);
      Await.until(
          "a watch of each balancer again",
          () -> fleet.discovery().watchingBalancers() == BALANCERS);
      stopAndCheck(fleet, loads);
    }
  }
}
