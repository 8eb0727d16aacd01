package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Balancers in processes of their own whose calls for the list are turned away, after a new
 * configuration, while a server begins to drain: none may send there once the change counts as told
 * and the grace is over, whether or not the list ever came.
 */
@Timeout(120)
class CrowdedDiscoveryTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.exponential(20));
  private static final PlatformSettings SETTINGS = new PlatformSettings(4000, 2000, 512, false);
  private static final int BALANCERS = 3;
  private static final double PER_SECOND = 40;

  /** Past the time in which the change counts as told, and the grace. */
  private static final long PAST_GRACE_MILLIS = 10_500;

  private static PlatformFleet fleet(int seed) throws Exception {
    PlatformFleet fleet = new PlatformFleet(seed, SETTINGS, SHAPE);
    for (int i = 0; i < 4; i++) {
      fleet.addServer(false);
    }
    return fleet.startBalancers(BALANCERS);
  }

  private static List<OpenLoop> loads(PlatformFleet fleet) {
    List<OpenLoop> loads = new ArrayList<>();
    fleet.balancers().forEach(balancer -> loads.add(fleet.startLoad(balancer, PER_SECOND)));
    return loads;
  }

  private static long served(List<OpenLoop> loads) {
    return loads.stream().mapToLong(load -> load.tally().count(Tally.Result.SERVED)).sum();
  }

  private static void awaitAllAsked(PlatformFleet fleet) throws Exception {
    Await.until("a watch of each", () -> fleet.discovery().watchingBalancers() == BALANCERS);
  }

  private static void end(PlatformFleet fleet, List<OpenLoop> loads) throws Exception {
    for (OpenLoop load : loads) {
      load.stop();
    }
    List<RoutingHistory.LateRequest> late = fleet.lateRequests();
    assertEquals(0, late.size(), () -> "sent to a server that drains, first " + late.get(0));
    assertEquals(0, fleet.ledger().lost(), "without an answer");
    assertEquals(0, fleet.ledger().doubles(id -> id.contains("publish")), "run twice");
  }

  /** As in the incident: no call is taken from the reload on until long after the grace. */
  @Test
  void nothingIsSentToADrainingServerWhileAllCallsAreTurnedAway() throws Exception {
    try (PlatformFleet fleet = fleet(71)) {
      List<OpenLoop> loads = loads(fleet);
      awaitAllAsked(fleet);
      fleet.discovery().setRejecting(true);
      for (PlatformBalancer balancer : fleet.balancers()) {
        fleet.reconfigure(balancer);
      }
      fleet.drain("s-1");
      Thread.sleep(PAST_GRACE_MILLIS);
      fleet.discovery().setRejecting(false);
      awaitAllAsked(fleet);
      long before = served(loads);
      Await.until("requests served again", () -> served(loads) > before + 60);
      end(fleet, loads);
    }
  }

  /** The watches break and no new configuration comes: the same limit holds. */
  @Test
  void theSameHoldsWhereWatchesBreak() throws Exception {
    try (PlatformFleet fleet = fleet(72)) {
      List<OpenLoop> loads = loads(fleet);
      awaitAllAsked(fleet);
      fleet.discovery().setRejecting(true);
      fleet.discovery().resetWatches();
      fleet.drain("s-2");
      Thread.sleep(PAST_GRACE_MILLIS);
      fleet.discovery().setRejecting(false);
      end(fleet, loads);
    }
  }

  /** An outage is no reason to turn clients away: nothing can have been told meanwhile. */
  @Test
  void requestsAreServedThroughAnOutage() throws Exception {
    try (PlatformFleet fleet = fleet(73)) {
      List<OpenLoop> loads = loads(fleet);
      awaitAllAsked(fleet);
      fleet.discovery().setDown(true);
      Thread.sleep(PAST_GRACE_MILLIS);
      long before = served(loads);
      Await.until("requests served", () -> served(loads) > before + 60);
      fleet.discovery().setDown(false);
      fleet.drain("s-3");
      awaitAllAsked(fleet);
      end(fleet, loads);
      assertTrue(refused(loads) < served(loads) / 20, "refused " + refused(loads));
    }
  }

  private static long refused(List<OpenLoop> loads) {
    return loads.stream().mapToLong(load -> load.tally().count(Tally.Result.REFUSED)).sum();
  }
}
