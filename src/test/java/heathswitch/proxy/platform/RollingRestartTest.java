package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Restarts real balancer processes one after another, under load and with a fault on the link to a
 * server: every accepted request is answered, and no unsafe request runs twice.
 */
@Timeout(120)
class RollingRestartTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(40));
  private static final int PROCESSES = 3;
  private static final int CALLS_PER_SECOND = 60;

  /** New connections are served for 0.4 s at least after SIGTERM. */
  private static final long STILL_ACCEPTING_MILLIS = 300;

  private static final int CALLS_BEFORE = 40;

  /** Injects or ends a fault on the link between a balancer process and a server. */
  private interface Fault {
    void apply(Node node, SimulatedServer server);
  }

  /** Stops and starts each process under load, with a fault on one of its links meanwhile. */
  private static void restartAll(int seed, Fault fault, Fault repair) throws Exception {
    try (Fleet fleet =
        new Fleet(seed).servers(3, "front", SHAPE).withServerProxies().start(PROCESSES)) {
      SimulatedServer server = fleet.servers().get(0);
      List<HttpLoadGenerator> loads = new ArrayList<>();
      for (Node node : fleet.nodes()) {
        HttpLoadGenerator load = fleet.startLoad(node, CALLS_PER_SECOND);
        loads.add(load);
        long before = received(fleet);
        Await.until("calls", () -> received(fleet) >= before + CALLS_BEFORE);
        fault.apply(node, server);
        CompletableFuture<Void> end = CompletableFuture.runAsync(node::terminate);
        // The load continues; its requests are still accepted.
        Thread.sleep(STILL_ACCEPTING_MILLIS);
        load.stop();
        end.get(30, TimeUnit.SECONDS);
        repair.apply(node, server);
        node.start();
        loads.add(fleet.startLoad(node, CALLS_PER_SECOND));
      }
      long before = received(fleet);
      Await.until("calls", () -> received(fleet) >= before + CALLS_BEFORE);
      for (HttpLoadGenerator load : loads) {
        load.stop();
      }
      assertEquals(0, fleet.ledger().lostCount(), "requests without an answer");
      assertEquals(0, fleet.ledger().duplicateRunCount(id -> id.contains("publish")), "run twice");
      assertEquals(
          0, fleet.ledger().falseResultCount(id -> id.contains("publish")), "untrue answers");
      assertTrue(received(fleet) > PROCESSES * CALLS_BEFORE, "the servers received requests");
    }
  }

  private static long received(Fleet fleet) {
    return fleet.servers().stream().mapToLong(SimulatedServer::receivedCount).sum();
  }

  @Test
  void noRequestIsLostWithHealthyLinks() throws Exception {
    restartAll(51, (node, server) -> {}, (node, server) -> {});
  }

  /** Open calls are reset, and so are new connections. */
  @Test
  void noRequestIsLostWhenLinkBreaks() throws Exception {
    restartAll(
        52,
        (node, server) -> node.serverProxy(server).setCut(true),
        (node, server) -> node.serverProxy(server).setCut(false));
  }

  /** Open calls are never answered; the balancer has to give them up in time. */
  @Test
  void noRequestIsLostWhenLinkFallsSilent() throws Exception {
    restartAll(
        53,
        (node, server) -> node.serverProxy(server).setMuted(false, true),
        (node, server) -> node.serverProxy(server).setMuted(false, false));
  }
}
