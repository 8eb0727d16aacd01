package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * What several processes of the program together send to a server that has just been added, with no
 * message between them: the warm-up holds for their sum, also where one of them sleeps as the list
 * changes and another starts anew right after it.
 */
@Timeout(120)
class ColdServerTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.exponential(3));
  private static final int PROCESSES = 8;
  private static final int SERVERS = 4;
  private static final double PER_SECOND = 30;
  private static final int CALLS_BEFORE = 300;

  /** In place of the rig's, and what the program takes a cold server for at first. */
  private static final int WARM_UP_SECONDS = 10;

  private static final double COLD_SHARE = 0.13;
  private static final int LOOK_SECONDS = 4;

  private final Map<Node, OpenLoop> loads = new HashMap<>();

  @Test
  void allProcessesTogetherKeepToTheWarmUp() throws Exception {
    Fleet fleet = new Fleet(61).servers(SERVERS, "front", SHAPE);
    List<StandIn> warm = fleet.servers().subList(0, SERVERS - 1);
    try (fleet) {
      fleet.before(node -> prepare(fleet, node, warm)).start(PROCESSES);
      StandIn cold = fleet.servers().get(SERVERS - 1);
      fleet.nodes().forEach(node -> load(fleet, node));
      Await.until("calls", () -> received(fleet) > CALLS_BEFORE);
      assertEquals(0, cold.received());

      Node sleeper = fleet.node(1);
      Node restarted = fleet.node(2);
      loads.get(sleeper).stop();
      sleeper.pause();
      for (Node node : fleet.nodes()) {
        fleet.list(node, fleet.servers());
      }
      Await.until("it is known", () -> cold.received() > 0);
      long before = received(fleet);
      long end = System.nanoTime() + LOOK_SECONDS * 1_000_000_000L;
      sleeper.resume();
      load(fleet, sleeper);
      loads.get(restarted).stop();
      restarted.end();
      restarted.start();
      load(fleet, restarted);
      Await.until("some seconds", () -> System.nanoTime() > end);

      double fair = (received(fleet) - before) / (double) SERVERS;
      double budget = fair * meanShare();
      double most = budget + 2 * Math.sqrt(budget) + 2;
      long got = cold.received();
      assertTrue(got <= most, got + " calls, " + most + " allowed, a warm one has " + fair);
      for (OpenLoop load : loads.values()) {
        load.stop();
      }
      assertEquals(0, fleet.ledger().lost());
      assertEquals(0, fleet.ledger().doubles(id -> id.contains("publish")));
    }
  }

  /** What a server may do over the time that is looked at, as a part of a warm one. */
  private static double meanShare() {
    return COLD_SHARE + (1 - COLD_SHARE) * LOOK_SECONDS / 2.0 / WARM_UP_SECONDS;
  }

  private static void prepare(Fleet fleet, Node node, List<StandIn> listed) throws IOException {
    fleet.list(node, listed);
    String text = Files.readString(node.config());
    String longer = "warm_up = \"" + WARM_UP_SECONDS + "s\"";
    assertTrue(text.contains("warm_up = \"1s\""), text);
    Files.writeString(node.config(), text.replace("warm_up = \"1s\"", longer));
  }

  private void load(Fleet fleet, Node node) {
    loads.put(node, fleet.load(node, PER_SECOND));
  }

  private static long received(Fleet fleet) {
    return fleet.servers().stream().mapToLong(StandIn::received).sum();
  }
}
