package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Several balancer processes that do not communicate send calls to a server that has just been
 * added. The sum of their calls must respect the warm-up, even if one process is paused while the
 * list changes and another restarts right after the change.
 */
@Timeout(120)
class ColdServerTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(3));
  private static final int PROCESSES = 8;
  private static final int SERVERS = 4;
  private static final double CALLS_PER_SECOND = 30;
  private static final int CALLS_BEFORE_CHANGE = 300;

  /** Replaces the warm-up time of 1 s that the test bed configures. */
  private static final int WARM_UP_SECONDS = 10;

  /**
   * Default of {@code cold_share}: share of a warm server's calls that a cold one gets at first.
   */
  private static final double COLD_SHARE = 0.13;

  private static final int OBSERVED_SECONDS = 4;

  private final Map<Node, HttpLoadGenerator> loads = new HashMap<>();

  @Test
  void sumOfCallsFromAllProcessesRespectsWarmUp() throws Exception {
    Fleet fleet = new Fleet(61).servers(SERVERS, "front", SHAPE);
    List<SimulatedServer> warm = fleet.servers().subList(0, SERVERS - 1);
    try (fleet) {
      fleet.beforeFirstStart(node -> prepare(fleet, node, warm)).start(PROCESSES);
      SimulatedServer cold = fleet.servers().get(SERVERS - 1);
      fleet.nodes().forEach(node -> startLoad(fleet, node));
      Await.until("calls", () -> received(fleet) > CALLS_BEFORE_CHANGE);
      assertEquals(0, cold.receivedCount());

      Node paused = fleet.node(1);
      Node restarted = fleet.node(2);
      loads.get(paused).stop();
      paused.pause();
      for (Node node : fleet.nodes()) {
        fleet.writeServerList(node, fleet.servers());
      }
      Await.until("cold server receives calls", () -> cold.receivedCount() > 0);
      long before = received(fleet);
      long end = System.nanoTime() + OBSERVED_SECONDS * 1_000_000_000L;
      paused.resume();
      startLoad(fleet, paused);
      loads.get(restarted).stop();
      restarted.terminate();
      restarted.start();
      startLoad(fleet, restarted);
      Await.until("end of the observed time", () -> System.nanoTime() > end);

      double warmCalls = (received(fleet) - before) / (double) SERVERS;
      double expected = warmCalls * meanShare();
      double allowed = expected + 2 * Math.sqrt(expected) + 2;
      long actual = cold.receivedCount();
      assertTrue(
          actual <= allowed,
          actual + " calls, " + allowed + " allowed, a warm server gets " + warmCalls);
      for (HttpLoadGenerator load : loads.values()) {
        load.stop();
      }
      assertEquals(0, fleet.ledger().lostCount());
      assertEquals(0, fleet.ledger().duplicateRunCount(id -> id.contains("publish")));
    }
  }

  /** Mean share of a warm server's calls that the cold one may get over the observed time. */
  private static double meanShare() {
    return COLD_SHARE + (1 - COLD_SHARE) * OBSERVED_SECONDS / 2.0 / WARM_UP_SECONDS;
  }

  private static void prepare(Fleet fleet, Node node, List<SimulatedServer> listed)
      throws IOException {
    fleet.writeServerList(node, listed);
    String text = Files.readString(node.config());
    String replacement = "warm_up = \"" + WARM_UP_SECONDS + "s\"";
    assertTrue(text.contains("warm_up = \"1s\""), text);
    Files.writeString(node.config(), text.replace("warm_up = \"1s\"", replacement));
  }

  private void startLoad(Fleet fleet, Node node) {
    loads.put(node, fleet.startLoad(node, CALLS_PER_SECOND));
  }

  private static long received(Fleet fleet) {
    return fleet.servers().stream().mapToLong(SimulatedServer::receivedCount).sum();
  }
}
