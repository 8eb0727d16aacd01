package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Processes of the program that are told to end, one after another, under load and with a server
 * behind a link that fails just then: whatever was taken is answered, and nothing runs twice that
 * may not.
 */
@Timeout(120)
class RollingRestartTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.exponential(40));
  private static final int PROCESSES = 3;
  private static final int PER_SECOND = 60;

  /** New connections are served for 0.4 s at least after SIGTERM. */
  private static final long STILL_TAKEN_MILLIS = 300;

  private static final int CALLS_BEFORE = 40;

  private interface Fault {
    void on(Node node, StandIn server);
  }

  /** Ends and starts each process under load, with a fault on one of its links meanwhile. */
  private static void restartAll(int seed, Fault fault, Fault mend) throws Exception {
    try (Fleet fleet = new Fleet(seed).servers(3, "front", SHAPE).relayed().start(PROCESSES)) {
      StandIn server = fleet.servers().get(0);
      List<OpenLoop> loads = new ArrayList<>();
      for (Node node : fleet.nodes()) {
        OpenLoop load = fleet.load(node, PER_SECOND);
        loads.add(load);
        long before = received(fleet);
        Await.until("calls", () -> received(fleet) >= before + CALLS_BEFORE);
        fault.on(node, server);
        CompletableFuture<Void> end = CompletableFuture.runAsync(node::end);
        Thread.sleep(STILL_TAKEN_MILLIS); // The load goes on: what comes then is taken, too.
        load.stop();
        end.get(30, TimeUnit.SECONDS);
        mend.on(node, server);
        node.start();
        loads.add(fleet.load(node, PER_SECOND));
      }
      long before = received(fleet);
      Await.until("calls", () -> received(fleet) >= before + CALLS_BEFORE);
      for (OpenLoop load : loads) {
        load.stop();
      }
      assertEquals(0, fleet.ledger().lost(), "without an answer");
      assertEquals(0, fleet.ledger().doubles(id -> id.contains("publish")), "run twice");
      assertEquals(0, fleet.ledger().untrue(id -> id.contains("publish")), "untrue answers");
      assertTrue(received(fleet) > PROCESSES * CALLS_BEFORE, "some were asked");
    }
  }

  private static long received(Fleet fleet) {
    return fleet.servers().stream().mapToLong(StandIn::received).sum();
  }

  @Test
  void nothingIsLostWhereAllLinksHold() throws Exception {
    restartAll(51, (node, server) -> {}, (node, server) -> {});
  }

  /** Calls that are out are reset, and new connections with them. */
  @Test
  void nothingIsLostWhereALinkBreaks() throws Exception {
    restartAll(
        52,
        (node, server) -> node.way(server).cut(true),
        (node, server) -> node.way(server).cut(false));
  }

  /** Calls that are out are never answered; they have to be given up in time. */
  @Test
  void nothingIsLostWhereALinkFallsSilent() throws Exception {
    restartAll(
        53,
        (node, server) -> node.way(server).mute(false, true),
        (node, server) -> node.way(server).mute(false, false));
  }
}
